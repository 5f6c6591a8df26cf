#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>

namespace medlarrack::gateway {

/// Schedules polls of data whose owner pays for each call. Data known to be stale is polled earlier, with delays that
/// double up to the usual interval. This bounds the calls when several engines crash together: for seconds each request
/// and each agent reports that the instance list is stale, and one read serves them all. Not thread-safe.
class poll_schedule
{
public:
    /// The data is known to be stale: the next poll comes early.
    void expedite();
    /// Whether an early poll has been requested and not started.
    [[nodiscard]] bool isExpedited() const;
    /// Delay from the last poll to the next one. Each early delay that it returns doubles the one after it.
    [[nodiscard]] std::chrono::milliseconds nextDelay(std::chrono::milliseconds usualInterval,
                                                      core::monotonic_time now);
    /// The next poll has started.
    void onPollStarted();

private:
    bool m_expedited = false;
    core::monotonic_time m_lastExpeditedAt{};
    std::chrono::milliseconds m_expeditedDelay{0};
};

} // namespace medlarrack::gateway
