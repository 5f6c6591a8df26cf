#pragma once

#include "target_directory.hpp"

#include <medlarrack/core/clock.hpp>
#include <medlarrack/entry/sidecar_link.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace medlarrack::entry {

/// Keeps streams of load reports open to all sidecars or, beyond maxWatches, to the most recently used ones.
/// Thread-safe. Lock order: the watcher's mutex, then the directory's.
class load_watcher : public std::enable_shared_from_this<load_watcher>
{
public:
    load_watcher(std::shared_ptr<target_directory> targets, sidecar_link &link, const core::clock &clock,
                 std::size_t maxWatches);

    /// Opens and closes streams according to the current instances and their use. To be called a few times a second.
    void tick(std::uint64_t newestTicket);
    /// Closes all streams.
    void stop();
    /// Number of open streams.
    [[nodiscard]] std::size_t watches() const;

private:
    struct watch
    {
        peer::endpoint endpoint;
        peer::client::stream_id stream = 0;
        /// Distinguishes late events of a previous stream from those of the current one.
        std::uint64_t generation = 0;
        bool open = false;
        core::monotonic_time retryAt{};
        std::chrono::milliseconds backoff{0};
    };

    /// Interval between two reports of one sidecar. Grows with the number of streams to bound the total traffic.
    [[nodiscard]] std::chrono::milliseconds reportInterval() const;
    void open(const std::string &id, watch &value, std::uint64_t newestTicket);
    void onMessage(const std::string &id, std::uint64_t generation, const peer::message &message);
    void onEnd(const std::string &id, std::uint64_t generation);

    const std::shared_ptr<target_directory> m_targets;
    sidecar_link &m_link;
    const core::clock &m_clock;
    const std::size_t m_maxWatches;
    mutable std::mutex m_mutex;
    std::map<std::string, watch, std::less<>> m_watches;
    std::uint64_t m_lastGeneration = 0;
    bool m_stopped = false;
};

} // namespace medlarrack::entry
