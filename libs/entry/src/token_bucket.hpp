#pragma once

#include <medlarrack/core/clock.hpp>

#include <algorithm>
#include <chrono>

namespace medlarrack::entry {

/// Counts down a rate with bursts of up to one second's worth. Not thread-safe.
class token_bucket
{
public:
    /// Takes one token; false when there is none.
    bool take(double perSecond, core::monotonic_time now)
    {
        refill(perSecond, now);
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    /// Time until there is a token, after a take() that failed.
    [[nodiscard]] std::chrono::milliseconds wait(double perSecond) const
    {
        constexpr double millisecondsPerSecond = 1'000;
        const double left = (1 - m_tokens) / std::max(perSecond, 1e-3);
        return std::chrono::milliseconds(static_cast<std::int64_t>(left * millisecondsPerSecond) + 1);
    }

private:
    void refill(double perSecond, core::monotonic_time now)
    {
        const double burst = std::max(1.0, perSecond);
        if (m_filled) {
            const std::chrono::duration<double> passed = now - m_at;
            m_tokens = std::min(burst, m_tokens + passed.count() * perSecond);
        } else {
            m_tokens = burst;
            m_filled = true;
        }
        m_at = now;
    }

    double m_tokens = 0;
    bool m_filled = false;
    core::monotonic_time m_at{};
};

} // namespace medlarrack::entry
