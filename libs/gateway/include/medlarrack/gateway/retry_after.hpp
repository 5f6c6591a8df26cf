#pragma once

#include <medlarrack/gateway/replica_table.hpp>

#include <chrono>
#include <cstdint>
#include <string_view>

namespace medlarrack::gateway {

/// Why a request is refused.
enum class refusal_cause {
    /// All available replicas are in a quiet period, which they set with a Retry-After, or limit their requests.
    quiet,
    /// The request crashes the replicas that run it.
    crashes_replicas,
    /// No published state is known yet.
    starting,
    /// No replica of the service can take the request.
    no_replica,
    /// The load of the request's adapter is queued behind other loads.
    adapter_backlog,
    /// The replicas rejected the request or were unreachable.
    rejected,
    /// No replica of a plain service is expected to answer in time.
    replicas_busy,
};

/// Retry-After of a refusal: the time until capacity is expected, with jitter so that callers don't retry together.
/// Callers retry only once or twice, so a retry that comes too early is as bad as one too late.
[[nodiscard]] std::chrono::milliseconds retryAfter(refusal_cause cause, const replica_table &table,
                                                   std::string_view service, core::monotonic_time now,
                                                   std::uint32_t random);

/// Whether all otherwise usable replicas of a service are in a quiet period or have no capacity left of the limit that
/// they name. False if there are none of these.
[[nodiscard]] bool allAreQuiet(const replica_table &table, std::string_view service, core::monotonic_time now);

} // namespace medlarrack::gateway
