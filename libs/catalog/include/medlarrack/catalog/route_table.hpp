#pragma once

#include <medlarrack/catalog/published_state.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlarrack::catalog {

/// The newest published state, prepared for look-ups. Older versions are never taken. Not thread-safe.
class route_table
{
public:
    /// Takes a state unless it is older than, or the same as, the one held; says whether it was taken.
    bool update(published_state state);
    [[nodiscard]] bool isEmpty() const;
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] const request_limits &limits() const;
    /// The route with the longest prefix that begins the path; null if there is none. The host may name a port.
    [[nodiscard]] std::shared_ptr<const route> find(std::string_view host, std::string_view path) const;
    /// Null for unknown names.
    [[nodiscard]] const service *findService(std::string_view name) const;
    [[nodiscard]] const std::vector<service> &services() const;

private:
    using prefix_map = std::map<std::string, std::shared_ptr<const route>, std::less<>>;

    published_state m_state;
    std::unordered_map<std::string, prefix_map> m_hosts;
    std::unordered_map<std::string, std::size_t> m_services;
};

/// The service that a request goes to: dealt by weight, the same for the same hash.
[[nodiscard]] std::string_view selectService(const route &of, std::uint64_t requestHash);

} // namespace medlarrack::catalog
