#pragma once

#include <chrono>
#include <random>

namespace medlarrack::config_sync::detail {

using random_source = std::mt19937_64;

/// Returns the interval multiplied by a random factor from 1 - share to 1 + share, so that processes that started
/// together don't keep calling at the same time.
[[nodiscard]] std::chrono::nanoseconds jittered(std::chrono::nanoseconds interval, double share, random_source &random);

/// Returns a uniformly distributed time from zero to the interval.
[[nodiscard]] std::chrono::nanoseconds uniformUpTo(std::chrono::nanoseconds interval, random_source &random);

/// Exponential backoff: the limit doubles with each failure; each wait is drawn from the upper half of the limit.
class backoff
{
public:
    explicit backoff(std::chrono::nanoseconds first)
        : m_first(first)
        , m_current(first)
    {
    }

    [[nodiscard]] std::chrono::nanoseconds next(std::chrono::nanoseconds maxWait, random_source &random);
    void reset()
    {
        m_current = m_first;
    }

private:
    std::chrono::nanoseconds m_first;
    std::chrono::nanoseconds m_current;
};

} // namespace medlarrack::config_sync::detail
