#include "target_monitor.hpp"

namespace medlarrack::sidecar::detail {
namespace {

/// Number of consecutive unanswered polls after which the target counts as down.
constexpr int failuresUntilDown = 2;

} // namespace

target_monitor::target_monitor(std::chrono::milliseconds interval)
    : m_interval(interval)
{
}

bool target_monitor::beginPoll(core::monotonic_time now, bool urgent)
{
    const bool due = !m_lastPoll || urgent || now - *m_lastPoll >= m_interval;
    if (m_polling || !due) {
        return false;
    }
    m_polling = true;
    m_lastPoll = now;
    return true;
}

poll_result target_monitor::onPollResult(const std::optional<engine::target_load> &load)
{
    m_polling = false;
    poll_result result;
    if (!load) {
        ++m_failures;
        result.wentDown = m_up && m_failures >= failuresUntilDown;
        m_up = m_up && !result.wentDown;
        return result;
    }
    m_failures = 0;
    result.cameUp = !m_up;
    m_up = true;
    result.restarted = m_startedMs != 0 && load->startedMs != m_startedMs;
    m_startedMs = load->startedMs;
    return result;
}

core::monotonic_time target_monitor::lastPoll() const
{
    return m_lastPoll.value_or(core::monotonic_time{});
}

bool target_monitor::up() const
{
    return m_up;
}

std::uint64_t target_monitor::startedMs() const
{
    return m_startedMs;
}

} // namespace medlarrack::sidecar::detail
