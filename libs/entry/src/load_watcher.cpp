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
/// Each watch adds this to the interval of all: reports of some 250 bytes then take 20 kB/s however many are watched.
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
    auto wanted = m_targets->sidecars();
    if (wanted.size() > m_maxWatches) {
        const auto last = wanted.begin() + static_cast<std::ptrdiff_t>(m_maxWatches);
        std::nth_element(wanted.begin(), last, wanted.end(), [](const watchable &one, const watchable &other) {
            return one.usedAt > other.usedAt;
        });
        wanted.erase(last, wanted.end());
    }
    std::map<std::string_view, const watchable *> byId;
    for (const watchable &item : wanted) {
        byId[item.id] = &item;
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
    for (const auto &[id, item] : byId) {
        watch &value = m_watches[std::string(id)];
        value.endpoint = item->endpoint;
        if (!value.open && m_clock.now() >= value.retryAt) {
            open(item->id, value, newestTicket);
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
    value.number = ++m_lastNumber;
    peer::stream_callbacks callbacks;
    const std::weak_ptr<load_watcher> weak = weak_from_this();
    callbacks.onMessage = [weak, id, number = value.number](const peer::message &message) {
        if (const auto self = weak.lock()) {
            self->onMessage(id, number, message);
        }
    };
    callbacks.onEnd = [weak, id, number = value.number](peer::stream_end /*end*/, const std::string & /*detail*/) {
        if (const auto self = weak.lock()) {
            self->onEnd(id, number);
        }
    };
    value.stream = m_link.start(value.endpoint, peer::watch_load{newestTicket, reportInterval()}, std::move(callbacks));
}

void load_watcher::onMessage(const std::string &id, std::uint64_t number, const peer::message &message)
{
    const auto *report = std::get_if<peer::load_report>(&message);
    // A process that took over the address of another one reports for itself.
    if (report == nullptr || report->sender.id != id) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_watches.find(id);
        if (found == m_watches.end() || found->second.number != number) {
            return;
        }
        found->second.backoff = 0ms;
    }
    m_targets->takeReport(id, *report);
}

void load_watcher::onEnd(const std::string &id, std::uint64_t number)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_watches.find(id);
        if (found == m_watches.end() || found->second.number != number) {
            return;
        }
        watch &value = found->second;
        value.open = false;
        value.backoff = std::clamp<std::chrono::milliseconds>(value.backoff * 2, firstBackoff, maxBackoff);
        value.retryAt = m_clock.now() + value.backoff;
    }
    m_targets->loseReport(id);
}

} // namespace medlarrack::entry
