#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/engine/target_load.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace medlarrack::sidecar::detail {

/// Changes of the target's state detected by a poll.
struct poll_result
{
    /// The target answered for the first time, or for the first time after being down.
    bool cameUp = false;
    bool wentDown = false;
    /// The target's process was started after the previous answer.
    bool restarted = false;
};

/// Tracks whether a target is reachable and when it was started. Not thread-safe.
class target_monitor
{
public:
    explicit target_monitor(std::chrono::milliseconds interval);

    /// Returns whether to poll now, and if so records that a poll has begun. An urgent poll doesn't wait for the
    /// interval.
    [[nodiscard]] bool beginPoll(core::monotonic_time now, bool urgent);
    [[nodiscard]] poll_result onPollResult(const std::optional<engine::target_load> &load);

    /// When the latest poll began.
    [[nodiscard]] core::monotonic_time lastPoll() const;
    [[nodiscard]] bool up() const;
    [[nodiscard]] std::uint64_t startedMs() const;

private:
    std::chrono::milliseconds m_interval;
    std::optional<core::monotonic_time> m_lastPoll;
    bool m_polling = false;
    bool m_up = false;
    int m_failures = 0;
    std::uint64_t m_startedMs = 0;
};

} // namespace medlarrack::sidecar::detail
