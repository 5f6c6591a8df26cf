#pragma once

#include <chrono>
#include <random>

namespace medlarrack::config_sync::detail {

using random_source = std::mt19937_64;

/// The interval times a random factor within 1 - share and 1 + share, so that processes that started together don't
/// call together for ever.
[[nodiscard]] std::chrono::nanoseconds jittered(std::chrono::nanoseconds interval, double share, random_source &random);

/// A random time from zero up to the interval.
[[nodiscard]] std::chrono::nanoseconds anywhereIn(std::chrono::nanoseconds interval, random_source &random);

/// Waits that double with each failure, each drawn from the upper half of its range.
class backoff
{
public:
    explicit backoff(std::chrono::nanoseconds first)
        : m_first(first)
        , m_current(first)
    {
    }

    [[nodiscard]] std::chrono::nanoseconds next(std::chrono::nanoseconds longest, random_source &random);
    void reset()
    {
        m_current = m_first;
    }

private:
    std::chrono::nanoseconds m_first;
    std::chrono::nanoseconds m_current;
};

} // namespace medlarrack::config_sync::detail
