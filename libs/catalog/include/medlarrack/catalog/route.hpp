#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// What operators publish for the gateway: routes, services, limits, replicas and adapter versions.
namespace medlarrack::catalog {

/// Whether a request may be retried after its run may have begun.
enum class retry_safety {
    /// The request may run any number of times.
    idempotent,
    /// The request runs at most once.
    at_most_once,
};

/// A service that serves part of a route's requests.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 0;
};

/// Services, retry rules and latency targets for the requests of one host and path prefix.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// At least one; requests are distributed by weight.
    std::vector<weighted_service> services;
    retry_safety retrySafety = retry_safety::at_most_once;
    /// Requests are answered by a stream of events.
    bool streaming = false;
    /// A broken stream may be resumed at another replica after its last event.
    bool resumable = false;
    /// Number of replicas that one request may run on.
    std::uint32_t maxAttempts = 1;
    /// Longest time that a caller waits.
    std::chrono::milliseconds timeout{10'000};
    /// Acceptable time to the answer, for a stream to its first event.
    std::chrono::milliseconds latencyTarget{1'000};
    /// Acceptable time between two events of a stream.
    std::chrono::milliseconds gapTarget{1'000};
    /// Priority among the requests of a service; 0 is served first.
    std::uint32_t priority = 0;
    /// Requests need no key of a tenant.
    bool isPublic = false;
};

/// Whether a request may be sent to another replica after its run may have begun.
[[nodiscard]] inline bool mayRetryAfterStart(const route &requestRoute)
{
    return requestRoute.streaming ? requestRoute.resumable : requestRoute.retrySafety == retry_safety::idempotent;
}

} // namespace medlarrack::catalog
