#pragma once

#include <medlarrack/core/clock.hpp>

#include <algorithm>
#include <chrono>

namespace medlarrack::entry {

/// Rate limiter with a burst of one second's tokens. Not thread-safe.
class token_bucket
{
public:
    /// Takes one token. Returns false if none is available.
    bool tryConsume(double perSecond, core::monotonic_time now)
    {
        refill(perSecond, now);
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    /// Time until a token is available, after a failed tryConsume().
    [[nodiscard]] std::chrono::milliseconds timeUntilToken(double perSecond) const
    {
        constexpr double millisecondsPerSecond = 1'000;
        const double seconds = (1 - m_tokens) / std::max(perSecond, 1e-3);
        return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * millisecondsPerSecond) + 1);
    }

private:
    void refill(double perSecond, core::monotonic_time now)
    {
        const double burst = std::max(1.0, perSecond);
        if (m_initialized) {
            const std::chrono::duration<double> elapsed = now - m_refilledAt;
            m_tokens = std::min(burst, m_tokens + elapsed.count() * perSecond);
        } else {
            m_tokens = burst;
            m_initialized = true;
        }
        m_refilledAt = now;
    }

    double m_tokens = 0;
    bool m_initialized = false;
    core::monotonic_time m_refilledAt{};
};

} // namespace medlarrack::entry
