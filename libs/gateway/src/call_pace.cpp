#include <medlarrack/gateway/call_pace.hpp>

namespace medlarrack::gateway {

namespace {

/// Pause before the first hurried call; each further one doubles it, up to the usual one.
constexpr std::chrono::milliseconds firstHurriedPause{100};
/// Without a hurried call for this long the pause begins anew. Engines that crash together are back within seconds.
constexpr std::chrono::milliseconds hurryMemory{3'000};

} // namespace

void call_pace::hurry()
{
    m_hurried = true;
}

bool call_pace::isHurried() const
{
    return m_hurried;
}

std::chrono::milliseconds call_pace::pause(std::chrono::milliseconds usual, core::monotonic_time now)
{
    if (!m_hurried) {
        return usual;
    }
    if (m_hurriedPause.count() == 0 || now - m_hurriedAt >= hurryMemory) {
        m_hurriedPause = firstHurriedPause;
    }
    if (m_hurriedPause >= usual) {
        return usual;
    }
    m_hurriedAt = now;
    const std::chrono::milliseconds next = m_hurriedPause;
    m_hurriedPause *= 2;
    return next;
}

void call_pace::called()
{
    m_hurried = false;
}

} // namespace medlarrack::gateway
