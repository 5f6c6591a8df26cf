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

/// Sends load reports to the entries that watch, when something changed and not too often: a watcher gets reports no
/// faster than it asked for, nor than the number of watchers allows, so that reports take a bounded share of the
/// network at both ends. That the target is leaving is said at once. Thread-safe; its mutex is a leaf in the lock
/// order.
class load_reporter : public std::enable_shared_from_this<load_reporter>
{
public:
    /// Adds a watcher and sends it the report.
    void add(const std::shared_ptr<peer::reply_stream> &stream, std::chrono::milliseconds interval,
             peer::load_report report, core::monotonic_time now);
    /// Whether reports may be sent now.
    [[nodiscard]] bool due(core::monotonic_time now) const;
    /// Sends a report to the watchers that haven't seen its content and whose interval has passed.
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
        /// Sequence number of the content seen.
        std::uint64_t sentSequence = 0;
        bool sentLeaving = false;
    };

    /// Numbers the report anew if its content differs from the last one's.
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
