#pragma once

#include <medlarrack/catalog/route.hpp>
#include <medlarrack/catalog/service.hpp>
#include <medlarrack/catalog/tenant.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace medlarrack::catalog {

/// Limits on requests of callers.
struct request_limits
{
    std::size_t maxHeadBytes = 16'384;
    std::size_t maxBodyBytes = 4'194'304;
    std::chrono::milliseconds headTimeout{3'000};
    std::chrono::milliseconds idleTimeout{15'000};
};

/// One version of the complete configuration.
struct published_state
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    request_limits limits;
    /// Requests need a tenant's key if there are any.
    std::vector<tenant> tenants;
};

} // namespace medlarrack::catalog
