#include <medlarrack/catalog/route_table.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::catalog {

namespace {

std::string normalizedHost(std::string_view host)
{
    std::string text(host.substr(0, host.find(':')));
    std::transform(text.begin(), text.end(), text.begin(), [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
    });
    return text;
}

} // namespace

bool route_table::update(published_state state)
{
    if (!isEmpty() && state.version <= m_state.version) {
        return false;
    }
    m_state = std::move(state);
    m_hosts.clear();
    for (const route &one : m_state.routes) {
        m_hosts[normalizedHost(one.host)][one.prefix] = std::make_shared<const route>(one);
    }
    m_state.routes.clear();
    m_tenants = tenant_directory(std::exchange(m_state.tenants, {}));
    m_services.clear();
    for (std::size_t index = 0; index < m_state.services.size(); ++index) {
        m_services[m_state.services[index].name] = index;
    }
    return true;
}

bool route_table::isEmpty() const
{
    return m_state.version == 0;
}

std::uint64_t route_table::version() const
{
    return m_state.version;
}

const request_limits &route_table::limits() const
{
    return m_state.limits;
}

std::shared_ptr<const route> route_table::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = m_hosts.find(normalizedHost(host));
    if (prefixes == m_hosts.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    // Every prefix ends with a slash: only the parts of the path up to one of its slashes can match, longest first.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        if (const auto found = prefixes->second.find(path.substr(0, slash + 1)); found != prefixes->second.end()) {
            return found->second;
        }
        if (slash == 0) {
            break;
        }
    }
    return nullptr;
}

const service *route_table::findService(std::string_view name) const
{
    const auto found = m_services.find(std::string(name));
    return found == m_services.end() ? nullptr : &m_state.services[found->second];
}

const std::vector<service> &route_table::services() const
{
    return m_state.services;
}

const tenant_directory &route_table::tenants() const
{
    return m_tenants;
}

std::string_view selectService(const route &requestRoute, std::uint64_t requestHash)
{
    std::uint64_t total = 0;
    for (const weighted_service &one : requestRoute.services) {
        total += one.weight;
    }
    if (total == 0) {
        return requestRoute.services.empty() ? std::string_view()
                                             : std::string_view(requestRoute.services.front().service);
    }
    std::uint64_t point = requestHash % total;
    for (const weighted_service &one : requestRoute.services) {
        if (point < one.weight) {
            return one.service;
        }
        point -= one.weight;
    }
    return requestRoute.services.back().service;
}

} // namespace medlarrack::catalog
