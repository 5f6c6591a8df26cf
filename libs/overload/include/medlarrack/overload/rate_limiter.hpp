#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>

namespace medlarrack::overload {

/// Token bucket that limits the rate of events. Not thread-safe.
class rate_limiter
{
public:
    /// Starts full. With a rate of zero, no tokens are added after the initial burst.
    rate_limiter(double tokensPerSecond, double burst, core::monotonic_time now);

    /// Takes one token. Returns false if there is none.
    [[nodiscard]] bool tryAcquire(core::monotonic_time now);
    /// Time until a token is available: zero if there is one, the maximum duration if there will never be one.
    [[nodiscard]] std::chrono::nanoseconds timeUntilToken(core::monotonic_time now);
    /// Changes rate and burst. Tokens in excess of the new burst are discarded.
    void configure(double tokensPerSecond, double burst, core::monotonic_time now);

private:
    void refill(core::monotonic_time now);

    double m_tokensPerSecond;
    double m_burst;
    double m_tokens;
    core::monotonic_time m_lastRefill;
};

} // namespace medlarrack::overload
