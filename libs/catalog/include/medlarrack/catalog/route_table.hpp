#pragma once

#include <medlarrack/catalog/published_state.hpp>
#include <medlarrack/catalog/tenant_directory.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlarrack::catalog {

/// Indexes the newest published state for look-ups; older versions are rejected. Not thread-safe.
class route_table
{
public:
    /// Replaces the state unless the new version isn't higher than the current one; returns whether it was replaced.
    bool update(published_state state);
    [[nodiscard]] bool isEmpty() const;
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] const request_limits &limits() const;
    /// The route of the host with the longest matching path prefix; null if there is none. A port in the host is
    /// ignored.
    [[nodiscard]] std::shared_ptr<const route> find(std::string_view host, std::string_view path) const;
    /// Null for unknown names.
    [[nodiscard]] const service *findService(std::string_view name) const;
    [[nodiscard]] const std::vector<service> &services() const;
    [[nodiscard]] const tenant_directory &tenants() const;

private:
    using prefix_map = std::map<std::string, std::shared_ptr<const route>, std::less<>>;

    published_state m_state;
    std::unordered_map<std::string, prefix_map> m_hosts;
    std::unordered_map<std::string, std::size_t> m_services;
    tenant_directory m_tenants;
};

/// Selects the service for a request by weight; the same hash always selects the same service.
[[nodiscard]] std::string_view selectService(const route &requestRoute, std::uint64_t requestHash);

} // namespace medlarrack::catalog
