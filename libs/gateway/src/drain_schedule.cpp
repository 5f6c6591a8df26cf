#include <medlarrack/gateway/drain_schedule.hpp>

#include <algorithm>

namespace medlarrack::gateway {

namespace {

using std::chrono::milliseconds;

/// Time for which the process still accepts connections. The load balancer probes readiness once a second and stops
/// sending connections after two failed probes.
constexpr milliseconds listenAfterStop{2'500};
/// Time for which the process waits until callers have read their last bytes.
constexpr milliseconds flushTime{300};

/// Time before the end of the grace for answering the requests that are still in progress. Includes a margin for a busy
/// machine.
milliseconds timeToEnd(milliseconds gracePeriod)
{
    constexpr milliseconds longest{1'000};
    return std::min(gracePeriod / 8, longest);
}

} // namespace

drain_schedule::drain_schedule(core::monotonic_time startedAt, milliseconds gracePeriod)
    : m_startedAt(startedAt)
    , m_end(startedAt + gracePeriod - timeToEnd(gracePeriod))
{
}

core::monotonic_time drain_schedule::end() const
{
    return m_end;
}

drain_step drain_schedule::step() const
{
    return m_step;
}

drain_step drain_schedule::update(core::monotonic_time now, bool isDrained, bool isEmpty)
{
    const bool isOver = now >= m_end || (m_step == drain_step::closing && isDrained);
    if (m_step == drain_step::ending) {
        if (isEmpty || now - m_endingSince >= flushTime) {
            m_step = drain_step::done;
        }
    } else if (m_step < drain_step::ending && isOver) {
        m_step = drain_step::ending;
        m_endingSince = now;
    } else if (m_step == drain_step::serving && now - m_startedAt >= listenAfterStop) {
        m_step = drain_step::closing;
    }
    return m_step;
}

} // namespace medlarrack::gateway
