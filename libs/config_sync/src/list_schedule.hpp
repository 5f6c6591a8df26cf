#pragma once

#include "jitter.hpp"

#include <medlarrack/config_sync/update_planner.hpp>

namespace medlarrack::config_sync::detail {

/// Decides when the instance list is read. The interval grows with the fleet, so that the calls of all
/// processes together stay below listCallsPerSecond. At most one call is in flight.
class list_schedule
{
public:
    list_schedule(const planner_settings &settings, random_source &random, core::monotonic_time now);

    void setFleetSize(std::size_t size);
    /// Returns whether a call is due and, if so, counts it as started.
    [[nodiscard]] bool next(core::monotonic_time now);
    void onEnd(call_result result, core::monotonic_time now);
    [[nodiscard]] core::monotonic_time due() const;
    [[nodiscard]] bool answered() const
    {
        return m_answered;
    }

private:
    [[nodiscard]] std::chrono::nanoseconds interval() const;

    const planner_settings &m_settings;
    random_source &m_random;
    backoff m_backoff;
    std::size_t m_fleetSize = 1;
    bool m_inFlight = false;
    bool m_answered = false;
    core::monotonic_time m_due;
};

} // namespace medlarrack::config_sync::detail
