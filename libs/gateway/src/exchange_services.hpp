#pragma once

#include "adapter_waiters.hpp"
#include "agent_links.hpp"
#include "connection_pool.hpp"

#include <medlarrack/catalog/route_table.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/gateway/adapter_demand.hpp>
#include <medlarrack/gateway/caller_format.hpp>
#include <medlarrack/gateway/replica_table.hpp>
#include <medlarrack/gateway/returning_callers.hpp>
#include <medlarrack/metrics/registry.hpp>
#include <medlarrack/overload/retry_budget.hpp>
#include <medlarrack/suspects/crash_detector.hpp>

#include <chrono>
#include <functional>
#include <random>
#include <string_view>

namespace medlarrack::gateway {

/// What all exchanges share.
struct exchange_services
{
    const core::clock &clock;
    const caller_format &format;
    const catalog::route_table &routes;
    replica_table &replicas;
    connection_pool &connections;
    agent_links &agents;
    adapter_waiters &waiters;
    adapter_demand &demand;
    returning_callers &returning;
    suspects::crash_detector &crashes;
    metrics::registry &metrics;
    /// The retry budget of a service.
    std::function<overload::retry_budget &(std::string_view service)> budgetOf;
    /// Time since the store's last good answer.
    std::function<std::chrono::nanoseconds()> storeAge;
    /// Something isn't as it is listed: the list is read again soon.
    std::function<void()> listIsOld;
    /// Spreads the times at which refused callers return.
    std::minstd_rand &random;
};

} // namespace medlarrack::gateway
