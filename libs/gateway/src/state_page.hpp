#pragma once

#include "capacity_waiters.hpp"
#include "process_use.hpp"

#include <medlarrack/catalog/route_table.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/gateway/own_load.hpp>
#include <medlarrack/gateway/replica_table.hpp>
#include <medlarrack/gateway/tenant_counts.hpp>
#include <medlarrack/http1/page_server.hpp>
#include <medlarrack/overload/byte_account.hpp>
#include <medlarrack/quota/tenant_limiter.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// Path of the page of a gateway that shows what it knows and uses.
inline constexpr std::string_view statePagePath = "/state";
/// Entries of each list of the page; the number of those left out is shown.
inline constexpr std::size_t maxStateEntries = 50;

/// Callers' connections and what is kept for them.
struct caller_use
{
    std::size_t connections = 0;
    std::size_t maxConnections = 0;
    /// Connections with a request in progress.
    std::size_t busy = 0;
    /// Bytes of answers that callers have yet to take.
    std::size_t untakenBytes = 0;
    /// Bytes that the account counts without a holder, by address.
    std::map<std::string, std::size_t, std::less<>> smallBytesByAddress;
};

/// What the page is made of.
struct state_sources
{
    core::monotonic_time now;
    const catalog::route_table &routes;
    const replica_table &replicas;
    const quota::tenant_limiter &limiter;
    const tenant_counts &tenantCounts;
    const capacity_waiters &capacityWaiters;
    const own_load &ownLoad;
    const overload::byte_account &heldBytes;
    caller_use callers;
    descriptor_use descriptors;
};

/// Shows as JSON the tenants and their quotas, the requests that wait for capacity, what has been learned of the
/// replicas, and the load of the process. Contains no keys.
[[nodiscard]] http1::page describeState(const state_sources &sources);

} // namespace medlarrack::gateway
