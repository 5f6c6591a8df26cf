#include <medlarrack/agent/report_schedule.hpp>

namespace medlarrack::agent {

namespace {

/// Interval while the engine loads or orders wait.
constexpr std::chrono::milliseconds activeInterval{20};

} // namespace

std::chrono::milliseconds report_schedule::next(bool hasPendingWork, core::monotonic_time now)
{
    const std::chrono::milliseconds delay = hasPendingWork ? activeInterval : idleInterval;
    m_due = now + delay;
    return delay;
}

std::optional<std::chrono::milliseconds> report_schedule::advance(bool hasPendingWork, core::monotonic_time now)
{
    if (!hasPendingWork || m_due <= now + activeInterval) {
        return std::nullopt;
    }
    return next(hasPendingWork, now);
}

} // namespace medlarrack::agent
