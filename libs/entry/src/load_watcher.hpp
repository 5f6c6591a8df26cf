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

/// Keeps load streams open to sidecars: to all while they are few, else to those used last. Thread-safe. Lock order:
/// the watcher's mutex, then the directory's.
class load_watcher : public std::enable_shared_from_this<load_watcher>
{
public:
    load_watcher(std::shared_ptr<target_directory> targets, sidecar_link &link, const core::clock &clock,
                 std::size_t maxWatches);

    /// Opens and closes streams as the fleet and its use ask for; to be called a few times a second.
    void tick(std::uint64_t newestTicket);
    /// Closes all streams.
    void stop();
    /// Streams open.
    [[nodiscard]] std::size_t watches() const;

private:
    struct watch
    {
        peer::endpoint endpoint;
        peer::client::stream_id stream = 0;
        /// Tells a stream's late end from its successor's.
        std::uint64_t number = 0;
        bool open = false;
        core::monotonic_time retryAt{};
        std::chrono::milliseconds backoff{0};
    };

    /// Time between two reports of one sidecar that keeps the reports of all within bounds.
    [[nodiscard]] std::chrono::milliseconds reportInterval() const;
    void open(const std::string &id, watch &value, std::uint64_t newestTicket);
    void onMessage(const std::string &id, std::uint64_t number, const peer::message &message);
    void onEnd(const std::string &id, std::uint64_t number);

    const std::shared_ptr<target_directory> m_targets;
    sidecar_link &m_link;
    const core::clock &m_clock;
    const std::size_t m_maxWatches;
    mutable std::mutex m_mutex;
    std::map<std::string, watch, std::less<>> m_watches;
    std::uint64_t m_lastNumber = 0;
    bool m_stopped = false;
};

} // namespace medlarrack::entry
