#pragma once

#include <medlarrack/core/clock.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace medlarrack::config_sync {

/// State and counters of a platform_reader.
struct reader_status
{
    bool ready = false;
    /// Whether this process watches the service for its data centre.
    bool isReader = false;
    std::uint64_t newestTicket = 0;
    std::uint64_t contiguousTicket = 0;
    /// Calls made to the service, by kind.
    std::uint64_t changesCalls = 0;
    std::uint64_t instancesCalls = 0;
    /// Queries sent to peers.
    std::uint64_t peerCalls = 0;
    /// Failed calls to the service and failed queries to peers.
    std::uint64_t serviceFailures = 0;
    std::uint64_t peerFailures = 0;
    /// Calls that the service rejected with status 429.
    std::uint64_t throttled = 0;
    std::uint64_t malformedTickets = 0;
    std::optional<core::monotonic_time> lastChanges;
    std::optional<core::monotonic_time> lastInstances;
    std::optional<core::monotonic_time> lastPeer;
    /// Reason of the most recent failed call to the service; empty when none has failed.
    std::string lastError;
};

/// Converts the status to a JSON object, with times as ages in milliseconds.
[[nodiscard]] nlohmann::json toJson(const reader_status &status, core::monotonic_time now);

} // namespace medlarrack::config_sync
