#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/peer/messages.hpp>
#include <medlarrack/peer/reply_stream.hpp>

#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace medlarrack::sidecar::detail {

/// Sends load reports to the entries that watch, when something changed and not too often: the interval grows with the
/// number of watchers, so that reports take a bounded share of the network. Thread-safe; its mutex is a leaf in the
/// lock order.
class load_reporter : public std::enable_shared_from_this<load_reporter>
{
public:
    /// Adds a watcher and sends it the report.
    void add(const std::shared_ptr<peer::reply_stream> &watcher, peer::load_report report);
    /// Whether reports may be sent now.
    [[nodiscard]] bool due(core::monotonic_time now) const;
    /// Sends a report to all watchers if it differs from the one before.
    void publish(peer::load_report report, core::monotonic_time now);
    /// Ends all watchers' streams.
    void close();
    [[nodiscard]] std::size_t watchers() const;

private:
    void forget(std::uint64_t watcher);

    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, std::shared_ptr<peer::reply_stream>> m_watchers;
    std::uint64_t m_lastWatcher = 0;
    std::uint64_t m_sequence = 0;
    std::optional<peer::load_report> m_last;
    core::monotonic_time m_lastSent{};
};

} // namespace medlarrack::sidecar::detail
