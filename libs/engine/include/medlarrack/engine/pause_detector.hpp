#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstdint>
#include <mutex>

namespace medlarrack::engine {

/// Notices that the process was paused, by a gap between two looks at the clocks that is longer than the process ever
/// leaves when it runs. Looks at both clocks, as one of them may stand still during a pause. Thread-safe; its mutex is
/// a leaf in the lock order.
class pause_detector
{
public:
    /// The clock must outlive the detector. Somebody has to call look() more often than the shortest pause.
    pause_detector(const core::clock &clock, std::chrono::milliseconds shortestPause);

    /// Looks at the clocks. Returns the number of pauses noticed so far; what was decided under a smaller number was
    /// decided before a pause.
    std::uint64_t look();

private:
    const core::clock &m_clock;
    const std::chrono::milliseconds m_shortestPause;
    std::mutex m_mutex;
    core::monotonic_time m_lastMonotonic;
    core::wall_time m_lastWall;
    std::uint64_t m_pauses = 0;
};

} // namespace medlarrack::engine
