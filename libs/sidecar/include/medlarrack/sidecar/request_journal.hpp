#pragma once

#include <medlarrack/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlarrack::sidecar {

/// Events of recent requests, for `medlarrackctl explain`. Memory is bounded: the oldest request is evicted first, and
/// only the first events of each request are kept. Thread-safe; its mutex is a leaf in the lock order.
class request_journal
{
public:
    /// The clock must outlive the journal.
    request_journal(const core::clock &clock, std::size_t maxRequests, std::size_t maxEventsPerRequest);

    /// Records an event with a stable name in snake case and a human-readable detail.
    void addEvent(const std::string &requestId, std::string_view event, std::string_view detail);
    /// Returns a request's events as a JSON object, or nullopt if the request is unknown or has been evicted.
    [[nodiscard]] std::optional<std::string> explain(const std::string &requestId) const;

private:
    struct recorded_event
    {
        core::wall_time at;
        std::string name;
        std::string detail;
    };
    struct request_events
    {
        std::vector<recorded_event> events;
        std::size_t dropped = 0;
    };

    request_events &findOrCreate(const std::string &requestId);

    const core::clock &m_clock;
    const std::size_t m_maxRequests;
    const std::size_t m_maxEvents;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, request_events> m_records;
    /// Oldest first.
    std::deque<std::string> m_insertionOrder;
};

} // namespace medlarrack::sidecar
