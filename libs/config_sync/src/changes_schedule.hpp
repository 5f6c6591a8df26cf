#pragma once

#include "jitter.hpp"
#include "ticket_cursor.hpp"

#include <medlarrack/config_sync/update_planner.hpp>

#include <optional>

namespace medlarrack::config_sync::detail {

/// How often a process reads the service's tickets itself.
enum class reading_mode {
    /// Continuously, by long polls.
    watch,
    /// At directInterval, as a safeguard while peers answer.
    infrequent,
    /// While no peer answers, at an interval that grows with the fleet size.
    fallback,
};

/// Decides when the service's tickets are read. At most one call is in flight.
class changes_schedule
{
public:
    changes_schedule(const planner_settings &settings, random_source &random, core::monotonic_time now);

    void setMode(reading_mode mode, std::size_t fleetSize, core::monotonic_time now);
    [[nodiscard]] reading_mode mode() const
    {
        return m_mode;
    }
    /// Returns the call that is due, if any, and counts it as started.
    [[nodiscard]] std::optional<read_changes> next(const ticket_position &position, core::monotonic_time now);
    void onEnd(call_result result, const ticket_position &position, core::monotonic_time now);
    [[nodiscard]] core::monotonic_time due() const;
    [[nodiscard]] bool answered() const
    {
        return m_answered;
    }

private:
    [[nodiscard]] std::chrono::nanoseconds interval() const;
    void scheduleAfterAnswer(const ticket_position &position, core::monotonic_time now);

    const planner_settings &m_settings;
    random_source &m_random;
    ticket_cursor m_cursor;
    backoff m_backoff;
    reading_mode m_mode = reading_mode::infrequent;
    std::size_t m_fleetSize = 1;
    bool m_inFlight = false;
    /// Whether the last call was answered completely, so that the next may be a long poll.
    bool m_mayWait = false;
    bool m_answered = false;
    read_changes m_call;
    ticket_position m_positionAtStart;
    core::monotonic_time m_startedAt{};
    core::monotonic_time m_due;
};

} // namespace medlarrack::config_sync::detail
