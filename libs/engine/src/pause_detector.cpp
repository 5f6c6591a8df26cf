#include <medlarrack/engine/pause_detector.hpp>

namespace medlarrack::engine {

pause_detector::pause_detector(const core::clock &clock, std::chrono::milliseconds shortestPause)
    : m_clock(clock)
    , m_shortestPause(shortestPause)
    , m_lastMonotonic(clock.now())
    , m_lastWall(clock.wallNow())
{
}

std::uint64_t pause_detector::look()
{
    const std::scoped_lock lock(m_mutex);
    const auto monotonic = m_clock.now();
    const auto wall = m_clock.wallNow();
    if (monotonic - m_lastMonotonic >= m_shortestPause || wall - m_lastWall >= m_shortestPause) {
        ++m_pauses;
    }
    m_lastMonotonic = monotonic;
    m_lastWall = wall;
    return m_pauses;
}

} // namespace medlarrack::engine
