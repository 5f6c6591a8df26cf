#include "load_reporter.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace medlarrack::sidecar::detail {
namespace {

constexpr std::chrono::milliseconds shortestInterval{50};
/// The shortest interval between reports to one watcher grows by this for each watcher, which bounds the total rate:
/// one report of about 200 bytes per 10 ms is 20 kB/s.
constexpr std::chrono::milliseconds intervalPerWatcher{10};
/// A watcher with more unsent bytes than this is skipped; the next report it gets is complete again.
constexpr std::size_t maxBufferedBytes = 64U << 10U;

bool hasSameContent(const peer::load_report &a, const peer::load_report &b)
{
    return a.running == b.running && a.queued == b.queued && a.batchSize == b.batchSize && a.slots == b.slots
        && a.leaving == b.leaving && a.newestTicket == b.newestTicket && a.adapters == b.adapters;
}

} // namespace

void load_reporter::add(const std::shared_ptr<peer::reply_stream> &stream, std::chrono::milliseconds interval,
                        peer::load_report report, core::monotonic_time now)
{
    std::uint64_t id = 0;
    {
        const std::scoped_lock lock(m_mutex);
        assignSequence(report);
        id = ++m_lastWatcherId;
        m_watchers.emplace(id, watcher{stream, interval, now, report.sequence, report.leaving});
    }
    stream->send(report);
    stream->onClosed([weak = weak_from_this(), id] {
        if (const auto self = weak.lock()) {
            self->remove(id);
        }
    });
}

bool load_reporter::due(core::monotonic_time now) const
{
    const std::scoped_lock lock(m_mutex);
    return now - m_lastSent >= shortestInterval;
}

void load_reporter::publish(peer::load_report report, core::monotonic_time now)
{
    std::vector<std::shared_ptr<peer::reply_stream>> receivers;
    {
        const std::scoped_lock lock(m_mutex);
        assignSequence(report);
        m_lastSent = now;
        for (auto &[id, one] : m_watchers) {
            if (!shouldSend(one, now)) {
                continue;
            }
            one.sentAt = now;
            one.sentSequence = report.sequence;
            one.sentLeaving = report.leaving;
            receivers.push_back(one.stream);
        }
    }
    for (const auto &stream : receivers) {
        stream->send(report);
    }
}

void load_reporter::assignSequence(peer::load_report &report)
{
    if (!m_lastReport || !hasSameContent(*m_lastReport, report)) {
        ++m_sequence;
    }
    report.sequence = m_sequence;
    m_lastReport = report;
}

bool load_reporter::shouldSend(const watcher &one, core::monotonic_time now) const
{
    if (one.sentSequence == m_sequence || one.stream->bufferedBytes() > maxBufferedBytes) {
        return false;
    }
    const auto minInterval = intervalPerWatcher * static_cast<std::int64_t>(m_watchers.size());
    const bool intervalPassed = now - one.sentAt >= std::max<std::chrono::milliseconds>(one.interval, minInterval);
    return intervalPassed || (m_lastReport->leaving && !one.sentLeaving);
}

void load_reporter::close()
{
    decltype(m_watchers) closed;
    {
        const std::scoped_lock lock(m_mutex);
        closed = std::exchange(m_watchers, {});
    }
    for (const auto &[id, one] : closed) {
        one.stream->end();
    }
}

std::size_t load_reporter::watchers() const
{
    const std::scoped_lock lock(m_mutex);
    return m_watchers.size();
}

void load_reporter::remove(std::uint64_t id)
{
    // Declared first, so that the stream is destroyed after the mutex has been released.
    std::shared_ptr<peer::reply_stream> dropped;
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_watchers.find(id);
        if (found != m_watchers.end()) {
            dropped = std::move(found->second.stream);
            m_watchers.erase(found);
        }
    }
}

} // namespace medlarrack::sidecar::detail
