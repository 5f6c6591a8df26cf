#include "load_watcher.hpp"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace medlarrack::entry {

namespace {

using namespace std::chrono_literals;

constexpr auto firstBackoff = 250ms;
constexpr auto maxBackoff = 5'000ms;
/// Each watch adds this to the report interval of all: reports of about 250 bytes then take 20 kB/s in total for any
/// number of watches.
constexpr auto intervalPerWatch = 12ms;

} // namespace

load_watcher::load_watcher(std::shared_ptr<target_directory> targets, sidecar_link &link, const core::clock &clock,
                           std::size_t maxWatches)
    : m_targets(std::move(targets))
    , m_link(link)
    , m_clock(clock)
    , m_maxWatches(maxWatches)
{
}

void load_watcher::tick(std::uint64_t newestTicket)
{
    auto candidates = m_targets->sidecars();
    if (candidates.size() > m_maxWatches) {
        const auto last = candidates.begin() + static_cast<std::ptrdiff_t>(m_maxWatches);
        std::nth_element(candidates.begin(), last, candidates.end(),
                         [](const watch_candidate &left, const watch_candidate &right) {
                             return left.lastUsedAt > right.lastUsedAt;
                         });
        candidates.erase(last, candidates.end());
    }
    std::map<std::string_view, const watch_candidate *> byId;
    for (const watch_candidate &candidate : candidates) {
        byId[candidate.id] = &candidate;
    }

    const std::lock_guard lock(m_mutex);
    if (m_stopped) {
        return;
    }
    for (auto position = m_watches.begin(); position != m_watches.end();) {
        const auto found = byId.find(position->first);
        const bool keep = found != byId.end() && found->second->endpoint == position->second.endpoint;
        if (keep) {
            ++position;
            continue;
        }
        if (position->second.open) {
            m_link.cancel(position->second.stream);
        }
        position = m_watches.erase(position);
    }
    for (const auto &[id, candidate] : byId) {
        watch &value = m_watches[std::string(id)];
        value.endpoint = candidate->endpoint;
        if (!value.open && m_clock.now() >= value.retryAt) {
            open(candidate->id, value, newestTicket);
        }
    }
}

void load_watcher::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    for (const auto &[id, value] : m_watches) {
        if (value.open) {
            m_link.cancel(value.stream);
        }
    }
    m_watches.clear();
}

std::size_t load_watcher::watches() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(m_watches.begin(), m_watches.end(), [](const auto &item) {
        return item.second.open;
    }));
}

std::chrono::milliseconds load_watcher::reportInterval() const
{
    return intervalPerWatch * static_cast<std::int64_t>(m_watches.size());
}

void load_watcher::open(const std::string &id, watch &value, std::uint64_t newestTicket)
{
    value.open = true;
    value.generation = ++m_lastGeneration;
    peer::stream_callbacks callbacks;
    const std::weak_ptr<load_watcher> weak = weak_from_this();
    callbacks.onMessage = [weak, id, generation = value.generation](const peer::message &message) {
        if (const auto self = weak.lock()) {
            self->onMessage(id, generation, message);
        }
    };
    callbacks.onEnd = [weak, id, generation = value.generation](peer::stream_end /*end*/,
                                                                const std::string & /*detail*/) {
        if (const auto self = weak.lock()) {
            self->onEnd(id, generation);
        }
    };
    value.stream = m_link.start(value.endpoint, peer::watch_load{newestTicket, reportInterval()}, std::move(callbacks));
}

void load_watcher::onMessage(const std::string &id, std::uint64_t generation, const peer::message &message)
{
    const auto *report = std::get_if<peer::load_report>(&message);
    // The address may have been taken over by another process, whose reports carry its own id.
    if (report == nullptr || report->sender.id != id) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_watches.find(id);
        if (found == m_watches.end() || found->second.generation != generation) {
            return;
        }
        found->second.backoff = 0ms;
    }
    m_targets->applyReport(id, *report);
}

void load_watcher::onEnd(const std::string &id, std::uint64_t generation)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_watches.find(id);
        if (found == m_watches.end() || found->second.generation != generation) {
            return;
        }
        watch &value = found->second;
        value.open = false;
        value.backoff = std::clamp<std::chrono::milliseconds>(value.backoff * 2, firstBackoff, maxBackoff);
        value.retryAt = m_clock.now() + value.backoff;
    }
    m_targets->clearReport(id);
}

} // namespace medlarrack::entry
