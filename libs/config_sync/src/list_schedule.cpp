#include "list_schedule.hpp"

#include <algorithm>

namespace medlarrack::config_sync::detail {

namespace {

constexpr double intervalJitter = 0.2;

} // namespace

list_schedule::list_schedule(const planner_settings &settings, random_source &random, core::monotonic_time now)
    : m_settings(settings)
    , m_random(random)
    , m_backoff(settings.firstBackoff)
    , m_due(now)
{
}

std::chrono::nanoseconds list_schedule::interval() const
{
    const std::chrono::duration<double> share(static_cast<double>(m_fleetSize) / m_settings.listCallsPerSecond);
    return std::max<std::chrono::nanoseconds>(m_settings.listInterval,
                                              std::chrono::duration_cast<std::chrono::nanoseconds>(share));
}

void list_schedule::setFleetSize(std::size_t size)
{
    m_fleetSize = std::max<std::size_t>(size, 1);
}

bool list_schedule::next(core::monotonic_time now)
{
    if (m_inFlight || now < m_due) {
        return false;
    }
    m_inFlight = true;
    return true;
}

void list_schedule::onEnd(call_result result, core::monotonic_time now)
{
    m_inFlight = false;
    const auto regularWait = jittered(interval(), intervalJitter, m_random);
    if (result == call_result::answered) {
        m_answered = true;
        m_backoff.reset();
        m_due = now + regularWait;
        return;
    }
    const auto maxWait = result == call_result::throttled ? m_settings.maxThrottledBackoff : m_settings.maxBackoff;
    const auto wait = m_backoff.next(maxWait, m_random);
    m_due = now + (m_answered ? std::max(wait, regularWait) : wait);
}

core::monotonic_time list_schedule::due() const
{
    return m_inFlight ? core::monotonic_time::max() : m_due;
}

} // namespace medlarrack::config_sync::detail
