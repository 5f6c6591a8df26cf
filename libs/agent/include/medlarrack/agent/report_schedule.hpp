#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <optional>

namespace medlarrack::agent {

/// Decides when the engine is asked for its next report: often while it loads or orders wait, else seldom. Meant for
/// loads of some 10 ms from the engine's memory, which begin at any time within the long interval and whose requests
/// wait for the report that shows them. Does no I/O and reads no clock.
class report_schedule
{
public:
    /// Delay until the next report.
    [[nodiscard]] std::chrono::milliseconds next(bool hasPendingWork, core::monotonic_time now);
    /// Delay until the next report if it is due sooner than it was: work has begun since. Empty if nothing changes.
    [[nodiscard]] std::optional<std::chrono::milliseconds> advance(bool hasPendingWork, core::monotonic_time now);

    /// Interval while the engine has nothing to load.
    static constexpr std::chrono::milliseconds idleInterval{150};

private:
    core::monotonic_time m_due{};
};

} // namespace medlarrack::agent
