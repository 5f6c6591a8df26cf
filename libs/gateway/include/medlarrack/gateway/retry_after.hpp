#pragma once

#include <medlarrack/gateway/replica_table.hpp>

#include <chrono>
#include <cstdint>
#include <string_view>

namespace medlarrack::gateway {

/// What a request is refused for.
enum class refusal_cause {
    /// All replicas that there are have asked for quiet.
    quiet,
    /// It crashes the replicas that run it.
    crashes_replicas,
    /// No published state is known yet.
    starting,
    /// No replica of the service can take it.
    no_replica,
    /// Its adapter waits for a slot behind others.
    adapter_backlog,
    /// The replicas rejected it, or were not reached.
    rejected,
};

/// When a refused caller is to return: at the time at which a place is expected, spread so that callers don't return
/// together. Callers return only once or twice, so that too early is as bad as too late.
[[nodiscard]] std::chrono::milliseconds retryAfter(refusal_cause cause, const replica_table &table,
                                                   std::string_view service, core::monotonic_time now,
                                                   std::uint32_t random);

/// Whether a service has replicas that would take requests, but for the quiet that they all have asked for.
[[nodiscard]] bool allAreQuiet(const replica_table &table, std::string_view service, core::monotonic_time now);

} // namespace medlarrack::gateway
