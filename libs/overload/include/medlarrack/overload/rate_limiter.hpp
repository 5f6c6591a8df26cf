#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>

namespace medlarrack::overload {

/// Token bucket that limits events a second. Not thread-safe.
class rate_limiter
{
public:
    /// Starts full. A rate of zero lets nothing through once the burst is spent.
    rate_limiter(double perSecond, double burst, core::monotonic_time now);

    /// Takes one token; false when there is none.
    [[nodiscard]] bool tryTake(core::monotonic_time now);
    /// Time until a token will be there; zero when there is one, the longest duration when there never will be.
    [[nodiscard]] std::chrono::nanoseconds timeToToken(core::monotonic_time now);
    /// Changes rate and burst; tokens beyond the new burst are lost.
    void configure(double perSecond, double burst, core::monotonic_time now);

private:
    void refill(core::monotonic_time now);

    double m_perSecond;
    double m_burst;
    double m_tokens;
    core::monotonic_time m_refilled;
};

} // namespace medlarrack::overload
