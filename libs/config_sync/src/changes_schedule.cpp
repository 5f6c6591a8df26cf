#include "changes_schedule.hpp"

#include <algorithm>

namespace medlarrack::config_sync::detail {

namespace {

constexpr double intervalJitter = 0.2;
/// Time between the end of one page of an answer and the request for the next.
constexpr std::chrono::milliseconds pageSpacing{20};

} // namespace

changes_schedule::changes_schedule(const planner_settings &settings, random_source &random, core::monotonic_time now)
    : m_settings(settings)
    , m_random(random)
    , m_cursor(settings.gapRetry)
    , m_backoff(settings.firstBackoff)
    , m_due(now + jittered(settings.directInterval, intervalJitter, random))
{
}

std::chrono::nanoseconds changes_schedule::interval() const
{
    if (m_mode == reading_mode::infrequent) {
        return m_settings.directInterval;
    }
    const std::chrono::duration<double> share(static_cast<double>(m_fleetSize) / m_settings.fallbackCallsPerSecond);
    return std::max<std::chrono::nanoseconds>(m_settings.fallbackInterval,
                                              std::chrono::duration_cast<std::chrono::nanoseconds>(share));
}

void changes_schedule::setMode(reading_mode mode, std::size_t fleetSize, core::monotonic_time now)
{
    m_fleetSize = std::max<std::size_t>(fleetSize, 1);
    if (mode == m_mode) {
        return;
    }
    m_mode = mode;
    m_mayWait = false;
    switch (mode) {
    case reading_mode::watch:
        m_due = std::max(now, m_startedAt + m_settings.minSpacing);
        break;
    case reading_mode::infrequent:
        m_due = now + jittered(interval(), intervalJitter, m_random);
        break;
    case reading_mode::fallback:
        // Spread the first reads over the fleet's interval, as all processes may have lost their peers at once.
        m_due = now + uniformUpTo(interval() - m_settings.fallbackInterval, m_random);
        break;
    }
}

std::optional<read_changes> changes_schedule::next(const ticket_position &position, core::monotonic_time now)
{
    if (m_inFlight || now < m_due) {
        return std::nullopt;
    }
    m_inFlight = true;
    m_startedAt = now;
    m_positionAtStart = position;
    m_call.after = m_cursor.after(position, now);
    m_call.wait = m_mode == reading_mode::watch && m_mayWait ? m_settings.watchWait : std::chrono::milliseconds(0);
    return m_call;
}

void changes_schedule::scheduleAfterAnswer(const ticket_position &position, core::monotonic_time now)
{
    const bool progress =
        position.contiguous > m_positionAtStart.contiguous || position.newest > m_positionAtStart.newest;
    if (m_mode != reading_mode::watch) {
        m_due = now + jittered(interval(), intervalJitter, m_random);
        return;
    }
    // An early answer without new tickets comes from a stale copy or from one with a gap; polling slowly avoids a busy
    // loop.
    const bool early = !progress && now - m_startedAt < m_call.wait / 2;
    const bool firstCall = m_call.wait.count() == 0;
    m_due = early && !firstCall ? now + jittered(m_settings.pollInterval, intervalJitter, m_random)
                                : std::max(now, m_startedAt + m_settings.minSpacing);
}

void changes_schedule::onEnd(call_result result, const ticket_position &position, core::monotonic_time now)
{
    m_inFlight = false;
    m_mayWait = result == call_result::answered;
    if (result == call_result::partial) {
        m_backoff.reset();
        m_due = now + pageSpacing;
        return;
    }
    if (result == call_result::answered) {
        m_answered = true;
        m_backoff.reset();
        m_cursor.onAnswer(m_call.after, position, now);
        scheduleAfterAnswer(position, now);
        return;
    }
    const auto maxWait = result == call_result::throttled ? m_settings.maxThrottledBackoff : m_settings.maxBackoff;
    const auto wait = m_backoff.next(maxWait, m_random);
    const auto minWait =
        m_mode == reading_mode::watch ? std::chrono::nanoseconds(0) : jittered(interval(), intervalJitter, m_random);
    m_due = now + std::max(wait, minWait);
}

core::monotonic_time changes_schedule::due() const
{
    return m_inFlight ? core::monotonic_time::max() : m_due;
}

} // namespace medlarrack::config_sync::detail
