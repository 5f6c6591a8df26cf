#include "request_terms.hpp"

#include <algorithm>

namespace medlarrack::gateway {

double requestCost(const catalog::tenant_quota &quota, const request_metadata &request)
{
    if (!quota.countsTokens) {
        return 1;
    }
    return request.hasTokenCount ? static_cast<double>(request.promptTokens) + request.maxOutputTokens
                                 : quota.defaultCost;
}

std::uint32_t requestUrgency(const catalog::route &route, const catalog::tenant *tenant)
{
    if (tenant == nullptr || !tenant->priority) {
        return route.priority;
    }
    // Replicas know ten levels; routes have two or three.
    constexpr std::uint32_t levelsPerTenantPriority = 3;
    constexpr std::uint32_t lowestUrgency = 9;
    const std::uint32_t ofTenant = std::min(*tenant->priority, lowestUrgency) * levelsPerTenantPriority;
    return std::min(lowestUrgency, ofTenant + std::min(route.priority, levelsPerTenantPriority - 1));
}

} // namespace medlarrack::gateway
