#pragma once

#include "adapter_waiters.hpp"
#include "agent_links.hpp"
#include "capacity_waiters.hpp"
#include "connection_pool.hpp"
#include "run_stopper.hpp"

#include <medlarrack/catalog/route_table.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/gateway/adapter_demand.hpp>
#include <medlarrack/gateway/caller_format.hpp>
#include <medlarrack/gateway/caller_retry_detector.hpp>
#include <medlarrack/gateway/key_policy.hpp>
#include <medlarrack/gateway/own_load.hpp>
#include <medlarrack/gateway/prompt_sizes.hpp>
#include <medlarrack/gateway/replica_table.hpp>
#include <medlarrack/gateway/response_bounds.hpp>
#include <medlarrack/gateway/tenant_counts.hpp>
#include <medlarrack/metrics/registry.hpp>
#include <medlarrack/overload/byte_account.hpp>
#include <medlarrack/overload/retry_budget.hpp>
#include <medlarrack/quota/tenant_limiter.hpp>
#include <medlarrack/resumption/stream_directory.hpp>
#include <medlarrack/suspects/crash_detector.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// References to what all exchanges of the process share.
struct exchange_services
{
    const core::clock &clock;
    const caller_format &format;
    const catalog::route_table &routes;
    replica_table &replicas;
    connection_pool &connectionPool;
    agent_links &agents;
    adapter_waiters &adapterWaiters;
    adapter_demand &adapterDemand;
    caller_retry_detector &callerRetryDetector;
    resumption::stream_directory &streams;
    suspects::crash_detector &crashDetector;
    metrics::registry &metrics;
    const response_bounds &responseBounds;
    /// Returns the retry budget of a service.
    std::function<overload::retry_budget &(std::string_view service)> retryBudgetFor;
    /// Returns the time since the last successful call to the store.
    std::function<std::chrono::nanoseconds()> storeAge;
    /// Called when the instance list is found to be stale, so that it is read again soon.
    std::function<void()> requestListRefresh;
    /// For the jitter in the Retry-After of refusals.
    std::minstd_rand &random;
    run_stopper &runStopper;
    /// What the process keeps for others; its holders are the replicas.
    overload::byte_account &heldBytes;
    const key_policy &keyPolicy;
    quota::tenant_limiter &tenantLimiter;
    own_load &ownLoad;
    /// Sizes of the prompts by service.
    std::map<std::string, prompt_sizes, std::less<>> &promptSizes;
    capacity_waiters &capacityWaiters;
    tenant_counts &tenantCounts;
};

} // namespace medlarrack::gateway
