#include <medlarrack/catalog/tenant_directory.hpp>

#include <cstring>
#include <utility>

namespace medlarrack::catalog {

std::size_t tenant_directory::digest_prefix::operator()(const core::sha256_digest &digest) const
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof(hash));
    return hash;
}

bool tenant_directory::digest_equality::operator()(const core::sha256_digest &left,
                                                   const core::sha256_digest &right) const
{
    return core::equalInConstantTime(left, right);
}

tenant_directory::tenant_directory(std::vector<tenant> tenants)
{
    for (tenant &one : tenants) {
        const auto kept = std::make_shared<const tenant>(std::move(one));
        m_tenants.push_back(kept);
        for (const core::sha256_digest &key : kept->keyDigests) {
            m_keys.emplace(key, kept);
        }
    }
}

bool tenant_directory::isEnabled() const
{
    return !m_tenants.empty();
}

std::shared_ptr<const tenant> tenant_directory::find(const core::sha256_digest &key) const
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : found->second;
}

const std::vector<std::shared_ptr<const tenant>> &tenant_directory::all() const
{
    return m_tenants;
}

} // namespace medlarrack::catalog
