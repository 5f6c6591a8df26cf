#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/peer/messages.hpp>
#include <medlarrack/peer/reply_stream.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace medlarrack::sidecar::detail {

/// Sends load reports to subscribed entries when the load has changed. The interval between reports to one watcher is
/// at least the one it requested and grows with the number of watchers, which bounds the network load at both ends.
/// That the target is leaving is reported without delay. Thread-safe; its mutex is a leaf in the lock order.
class load_reporter : public std::enable_shared_from_this<load_reporter>
{
public:
    /// Adds a watcher and sends it the current report.
    void add(const std::shared_ptr<peer::reply_stream> &stream, std::chrono::milliseconds interval,
             peer::load_report report, core::monotonic_time now);
    /// Whether the shortest interval since the last report has passed.
    [[nodiscard]] bool due(core::monotonic_time now) const;
    /// Sends a report to the watchers that have not received its content yet and whose interval has passed.
    void publish(peer::load_report report, core::monotonic_time now);
    /// Ends all watchers' streams.
    void close();
    [[nodiscard]] std::size_t watchers() const;

private:
    struct watcher
    {
        std::shared_ptr<peer::reply_stream> stream;
        std::chrono::milliseconds interval{0};
        core::monotonic_time sentAt{};
        /// Sequence number of the last report sent.
        std::uint64_t sentSequence = 0;
        bool sentLeaving = false;
    };

    /// Sets the report's sequence number, which is incremented when the content differs from the last report's.
    void assignSequence(peer::load_report &report);
    [[nodiscard]] bool shouldSend(const watcher &one, core::monotonic_time now) const;
    void remove(std::uint64_t id);

    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, watcher> m_watchers;
    std::uint64_t m_lastWatcherId = 0;
    std::uint64_t m_sequence = 0;
    std::optional<peer::load_report> m_lastReport;
    core::monotonic_time m_lastSent{};
};

} // namespace medlarrack::sidecar::detail
