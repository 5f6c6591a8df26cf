#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// What operators publish for the gateway: routes, services, limits, replicas and adapter versions.
namespace medlarrack::catalog {

/// What may be done with a request whose run may have begun.
enum class retry_safety {
    /// It may run any number of times.
    idempotent,
    /// It runs at most once.
    atMostOnce,
};

/// A service that takes a part of a route's requests.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 0;
};

/// Where the requests of one host and path prefix go, and what is promised for them.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// At least one; requests are dealt by weight.
    std::vector<weighted_service> services;
    retry_safety retrySafety = retry_safety::atMostOnce;
    /// Answered by a stream of events.
    bool streaming = false;
    /// A broken stream may go on at another replica behind its last event.
    bool resumable = false;
    /// Replicas that one request may run on.
    std::uint32_t maxAttempts = 1;
    /// Longest time that a caller is kept waiting.
    std::chrono::milliseconds timeout{10'000};
    /// Time to the answer, of a stream to its first event, that callers are content with.
    std::chrono::milliseconds latencyTarget{1'000};
    /// Longest pause between events that callers are content with.
    std::chrono::milliseconds gapTarget{1'000};
    /// Rank among the requests of a service; 0 is served first.
    std::uint32_t priority = 0;
};

/// Whether a request may be sent to another replica after its run may have begun.
[[nodiscard]] inline bool mayRetryAfterStart(const route &of)
{
    return of.streaming ? of.resumable : of.retrySafety == retry_safety::idempotent;
}

} // namespace medlarrack::catalog
