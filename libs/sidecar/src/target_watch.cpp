#include "target_watch.hpp"

namespace medlarrack::sidecar::detail {
namespace {

/// Polls without an answer in a row after which the target counts as down.
constexpr int failuresUntilDown = 2;

} // namespace

target_watch::target_watch(std::chrono::milliseconds interval)
    : m_interval(interval)
{
}

bool target_watch::beginPoll(core::monotonic_time now, bool urgent)
{
    const bool due = !m_lastPoll || urgent || now - *m_lastPoll >= m_interval;
    if (m_polling || !due) {
        return false;
    }
    m_polling = true;
    m_lastPoll = now;
    return true;
}

poll_news target_watch::polled(const std::optional<engine::target_load> &load)
{
    m_polling = false;
    poll_news news;
    if (!load) {
        ++m_failures;
        news.wentDown = m_up && m_failures >= failuresUntilDown;
        m_up = m_up && !news.wentDown;
        return news;
    }
    m_failures = 0;
    news.cameUp = !m_up;
    m_up = true;
    news.restarted = m_startedMs != 0 && load->startedMs != m_startedMs;
    m_startedMs = load->startedMs;
    return news;
}

core::monotonic_time target_watch::lastPoll() const
{
    return m_lastPoll.value_or(core::monotonic_time{});
}

bool target_watch::up() const
{
    return m_up;
}

std::uint64_t target_watch::startedMs() const
{
    return m_startedMs;
}

} // namespace medlarrack::sidecar::detail
