#pragma once

#include <chrono>

namespace medlarrack::core {

/// How long a caller's connection stays open while it is idle, and what its caller is told of that. The caller measures
/// from when it has got its response and needs time to send, so the connection outlasts what it was told.
class idle_allowance
{
public:
    explicit idle_allowance(std::chrono::milliseconds idleTimeout);

    /// Returns for how long the response that is about to begin may state that the connection can be used again.
    [[nodiscard]] std::chrono::seconds announce(std::chrono::milliseconds idleTimeout);
    /// The response is complete.
    void onIdle(std::chrono::milliseconds idleTimeout);
    /// Callers may know the idle time-out of any state that has been in force since.
    void onStateChange(std::chrono::milliseconds idleTimeout);
    /// Idle time after which the connection is closed.
    [[nodiscard]] std::chrono::milliseconds timeout() const;

private:
    std::chrono::milliseconds m_timeout;
    std::chrono::milliseconds m_promised{0};
};

} // namespace medlarrack::core
