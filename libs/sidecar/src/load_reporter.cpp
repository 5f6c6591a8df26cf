#include "load_reporter.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace medlarrack::sidecar::detail {
namespace {

constexpr std::chrono::milliseconds shortestInterval{50};
/// Added to the interval for each watcher: a report of some 200 bytes each this often is 20 kB/s.
constexpr std::chrono::milliseconds intervalPerWatcher{10};
/// A watcher that lets more than this pile up misses reports; the next one it takes is whole again.
constexpr std::size_t maxBufferedBytes = 64U << 10U;

bool saysTheSame(const peer::load_report &a, const peer::load_report &b)
{
    return a.running == b.running && a.queued == b.queued && a.batchSize == b.batchSize && a.slots == b.slots
        && a.leaving == b.leaving && a.newestTicket == b.newestTicket && a.adapters == b.adapters;
}

} // namespace

void load_reporter::add(const std::shared_ptr<peer::reply_stream> &watcher, peer::load_report report)
{
    std::uint64_t id = 0;
    {
        const std::scoped_lock lock(m_mutex);
        id = ++m_lastWatcher;
        m_watchers.emplace(id, watcher);
        report.sequence = ++m_sequence;
    }
    watcher->send(report);
    watcher->onClosed([weak = weak_from_this(), id] {
        if (const auto self = weak.lock()) {
            self->forget(id);
        }
    });
}

bool load_reporter::due(core::monotonic_time now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto interval = std::max<std::chrono::milliseconds>(
        shortestInterval, intervalPerWatcher * static_cast<std::int64_t>(m_watchers.size()));
    return now - m_lastSent >= interval;
}

void load_reporter::publish(peer::load_report report, core::monotonic_time now)
{
    std::vector<std::shared_ptr<peer::reply_stream>> receivers;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_last && saysTheSame(*m_last, report)) {
            return;
        }
        report.sequence = ++m_sequence;
        m_last = report;
        m_lastSent = now;
        for (const auto &[id, watcher] : m_watchers) {
            receivers.push_back(watcher);
        }
    }
    for (const auto &watcher : receivers) {
        if (watcher->bufferedBytes() <= maxBufferedBytes) {
            watcher->send(report);
        }
    }
}

void load_reporter::close()
{
    decltype(m_watchers) closed;
    {
        const std::scoped_lock lock(m_mutex);
        closed = std::exchange(m_watchers, {});
    }
    for (const auto &[id, watcher] : closed) {
        watcher->end();
    }
}

std::size_t load_reporter::watchers() const
{
    const std::scoped_lock lock(m_mutex);
    return m_watchers.size();
}

void load_reporter::forget(std::uint64_t watcher)
{
    // Destroyed after the mutex has been released.
    std::shared_ptr<peer::reply_stream> dropped;
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_watchers.find(watcher);
        if (found != m_watchers.end()) {
            dropped = std::move(found->second);
            m_watchers.erase(found);
        }
    }
}

} // namespace medlarrack::sidecar::detail
