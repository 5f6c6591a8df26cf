#pragma once

#include <medlarrack/catalog/route.hpp>
#include <medlarrack/catalog/tenant.hpp>
#include <medlarrack/gateway/caller_format.hpp>

#include <cstdint>

namespace medlarrack::gateway {

/// What a request costs of its tenant's quota.
[[nodiscard]] double requestCost(const catalog::tenant_quota &quota, const request_metadata &request);

/// The urgency that a replica is told; 0 is the highest. `tenant` may be null.
[[nodiscard]] std::uint32_t requestUrgency(const catalog::route &route, const catalog::tenant *tenant);

} // namespace medlarrack::gateway
