#include <medlarrack/gateway/tenant_counts.hpp>

namespace medlarrack::gateway {

namespace {

constexpr std::string_view otherTenants = "other";

void increment(std::map<std::string, std::uint64_t, std::less<>> &counts, std::string_view code)
{
    const auto found = counts.find(code);
    ++(found == counts.end() ? counts[std::string(code)] : found->second);
}

} // namespace

tenant_counts::tenant_counts(std::size_t maxTenants)
    : m_maxTenants(maxTenants)
{
}

void tenant_counts::recordServed(std::string_view tenant)
{
    ++outcomesOf(tenant).served;
}

void tenant_counts::recordRefused(std::string_view tenant, std::string_view code)
{
    increment(outcomesOf(tenant).refused, code);
}

void tenant_counts::recordFailed(std::string_view tenant, std::string_view code)
{
    increment(outcomesOf(tenant).failed, code);
}

const std::map<std::string, tenant_outcomes, std::less<>> &tenant_counts::all() const
{
    return m_tenants;
}

tenant_outcomes &tenant_counts::outcomesOf(std::string_view tenant)
{
    const auto found = m_tenants.find(tenant);
    if (found != m_tenants.end()) {
        return found->second;
    }
    return m_tenants[std::string(m_tenants.size() < m_maxTenants ? tenant : otherTenants)];
}

} // namespace medlarrack::gateway
