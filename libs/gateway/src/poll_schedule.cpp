#include <medlarrack/gateway/poll_schedule.hpp>

namespace medlarrack::gateway {

namespace {

/// Delay of the first early poll; each further one doubles it, up to the usual interval.
constexpr std::chrono::milliseconds firstExpeditedDelay{100};
/// The delay starts anew after this time without an early poll. Engines that crash together are back within seconds.
constexpr std::chrono::milliseconds expediteResetTime{3'000};

} // namespace

void poll_schedule::expedite()
{
    m_expedited = true;
}

bool poll_schedule::isExpedited() const
{
    return m_expedited;
}

std::chrono::milliseconds poll_schedule::nextDelay(std::chrono::milliseconds usualInterval, core::monotonic_time now)
{
    if (!m_expedited) {
        return usualInterval;
    }
    if (m_expeditedDelay.count() == 0 || now - m_lastExpeditedAt >= expediteResetTime) {
        m_expeditedDelay = firstExpeditedDelay;
    }
    if (m_expeditedDelay >= usualInterval) {
        return usualInterval;
    }
    m_lastExpeditedAt = now;
    const std::chrono::milliseconds delay = m_expeditedDelay;
    m_expeditedDelay *= 2;
    return delay;
}

void poll_schedule::onPollStarted()
{
    m_expedited = false;
}

} // namespace medlarrack::gateway
