#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace medlarrack::load {

/// What an engine's GET /load says of its batches.
struct engine_counters
{
    std::uint64_t startedMs = 0;
    std::uint64_t batchSize = 0;
    std::uint64_t steps = 0;
    std::uint64_t filled = 0;
    std::uint64_t tokens = 0;
};

/// Batches of several engines over an interval.
struct batch_use
{
    std::uint64_t places = 0;
    std::uint64_t filled = 0;
    std::uint64_t tokens = 0;

    /// Share of places filled; 0 without steps.
    [[nodiscard]] double efficiency() const;
};

/// Reads the body of GET /load; nothing when it isn't in that form.
[[nodiscard]] std::optional<engine_counters> parseCounters(std::string_view body);

/// Adds an engine's use between two readings. An engine that restarted in between counts from its start.
void addUse(batch_use &into, const engine_counters &before, const engine_counters &after);

} // namespace medlarrack::load
