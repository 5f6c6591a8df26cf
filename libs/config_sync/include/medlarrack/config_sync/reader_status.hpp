#pragma once

#include <medlarrack/core/clock.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace medlarrack::config_sync {

/// What a platform_reader has done so far.
struct reader_status
{
    bool ready = false;
    /// Whether this process watches the service for its data centre.
    bool reads = false;
    std::uint64_t newestTicket = 0;
    std::uint64_t contiguousTicket = 0;
    /// Calls of the service made, by kind.
    std::uint64_t changesCalls = 0;
    std::uint64_t instancesCalls = 0;
    /// Questions to peers.
    std::uint64_t peerCalls = 0;
    /// Calls of the service and questions to peers that failed.
    std::uint64_t serviceFailures = 0;
    std::uint64_t peerFailures = 0;
    /// Calls that the service refused as too many.
    std::uint64_t throttled = 0;
    std::uint64_t malformedTickets = 0;
    std::optional<core::monotonic_time> lastChanges;
    std::optional<core::monotonic_time> lastInstances;
    std::optional<core::monotonic_time> lastPeer;
    /// Why the last call failed; empty when none did.
    std::string lastError;
};

/// The status as a JSON object; times as ages in milliseconds.
[[nodiscard]] nlohmann::json toJson(const reader_status &status, core::monotonic_time now);

} // namespace medlarrack::config_sync
