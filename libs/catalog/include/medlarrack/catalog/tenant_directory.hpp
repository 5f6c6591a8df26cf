#pragma once

#include <medlarrack/catalog/tenant.hpp>

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

namespace medlarrack::catalog {

/// Finds the tenant that a key belongs to. A look-up costs the same for any number of keys. Not thread-safe.
class tenant_directory
{
public:
    tenant_directory() = default;
    /// If two tenants have the same key, it belongs to the first one.
    explicit tenant_directory(std::vector<tenant> tenants);

    /// Whether there are any tenants, so that requests need a key.
    [[nodiscard]] bool isEnabled() const;
    /// Null for unknown keys.
    [[nodiscard]] std::shared_ptr<const tenant> find(const core::sha256_digest &key) const;
    /// In the order of the published state.
    [[nodiscard]] const std::vector<std::shared_ptr<const tenant>> &all() const;

private:
    /// The bytes of a digest are as good as random.
    struct digest_prefix
    {
        std::size_t operator()(const core::sha256_digest &digest) const;
    };
    struct digest_equality
    {
        bool operator()(const core::sha256_digest &left, const core::sha256_digest &right) const;
    };

    std::vector<std::shared_ptr<const tenant>> m_tenants;
    std::unordered_map<core::sha256_digest, std::shared_ptr<const tenant>, digest_prefix, digest_equality> m_keys;
};

} // namespace medlarrack::catalog
