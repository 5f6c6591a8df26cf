#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>

namespace medlarrack::gateway {

/// How soon something is read again that costs its owner a call each time. What is known to be old is read sooner, a
/// few times in a row at most. Answers the pattern of engines that crash together: for seconds each request and each
/// agent shows anew that the list of instances is old, and one read of it serves them all. Not thread-safe.
class poll_schedule
{
public:
    /// What was read is known to be old.
    void expedite();
    /// The next call is to be sooner than usual.
    [[nodiscard]] bool isExpedited() const;
    /// The pause from the last call to the next one.
    [[nodiscard]] std::chrono::milliseconds nextDelay(std::chrono::milliseconds usualInterval,
                                                      core::monotonic_time now);
    /// The next call has begun.
    void onPollStarted();

private:
    bool m_expedited = false;
    core::monotonic_time m_lastExpeditedAt{};
    std::chrono::milliseconds m_expeditedDelay{0};
};

} // namespace medlarrack::gateway
