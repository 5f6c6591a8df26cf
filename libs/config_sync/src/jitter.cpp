#include "jitter.hpp"

#include <algorithm>

namespace medlarrack::config_sync::detail {

namespace {

std::chrono::nanoseconds scaled(std::chrono::nanoseconds interval, double factor)
{
    return std::chrono::nanoseconds(
        static_cast<std::chrono::nanoseconds::rep>(static_cast<double>(interval.count()) * factor));
}

} // namespace

std::chrono::nanoseconds jittered(std::chrono::nanoseconds interval, double share, random_source &random)
{
    return scaled(interval, std::uniform_real_distribution<double>(1 - share, 1 + share)(random));
}

std::chrono::nanoseconds uniformUpTo(std::chrono::nanoseconds interval, random_source &random)
{
    return scaled(interval, std::uniform_real_distribution<double>(0, 1)(random));
}

std::chrono::nanoseconds backoff::next(std::chrono::nanoseconds maxWait, random_source &random)
{
    const auto limit = std::min(m_current, maxWait);
    m_current = std::min(2 * limit, maxWait);
    return limit / 2 + uniformUpTo(limit / 2, random);
}

} // namespace medlarrack::config_sync::detail
