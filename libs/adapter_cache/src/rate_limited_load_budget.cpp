#include <medlarrack/adapter_cache/rate_limited_load_budget.hpp>

#include <algorithm>
#include <chrono>

namespace medlarrack::adapter_cache {
namespace {

/// Stands for "not before something ends"; asked again at every event.
constexpr std::chrono::seconds farAway{3600};

} // namespace

rate_limited_load_budget::rate_limited_load_budget(double perSecond, double burst, std::size_t atOnce,
                                                   core::monotonic_time now)
    : m_rate(perSecond, burst, now)
    , m_atOnce(atOnce)
{
}

void rate_limited_load_budget::configure(double perSecond, double burst, std::size_t atOnce, core::monotonic_time now)
{
    m_rate.configure(perSecond, burst, now);
    m_atOnce = atOnce;
}

core::monotonic_time rate_limited_load_budget::earliest(core::monotonic_time now)
{
    if (m_running >= m_atOnce) {
        return now + farAway;
    }
    return now + std::min<std::chrono::nanoseconds>(m_rate.timeToToken(now), farAway);
}

bool rate_limited_load_budget::tryStart(core::monotonic_time now)
{
    if (m_running >= m_atOnce || !m_rate.tryTake(now)) {
        return false;
    }
    ++m_running;
    return true;
}

void rate_limited_load_budget::ended(core::monotonic_time /*now*/)
{
    if (m_running > 0) {
        --m_running;
    }
}

} // namespace medlarrack::adapter_cache
