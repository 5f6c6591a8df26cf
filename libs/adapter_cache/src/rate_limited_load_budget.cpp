#include <medlarrack/adapter_cache/rate_limited_load_budget.hpp>

#include <algorithm>
#include <chrono>

namespace medlarrack::adapter_cache {
namespace {

/// Delay reported while a load has to wait for another one to end, and upper bound of other delays. The caller checks
/// again after every event.
constexpr std::chrono::seconds unknownDelay{3600};

} // namespace

rate_limited_load_budget::rate_limited_load_budget(double loadsPerSecond, double burst, std::size_t maxConcurrent,
                                                   core::monotonic_time now)
    : m_rateLimiter(loadsPerSecond, burst, now)
    , m_maxConcurrent(maxConcurrent)
{
}

void rate_limited_load_budget::configure(double loadsPerSecond, double burst, std::size_t maxConcurrent,
                                         core::monotonic_time now)
{
    m_rateLimiter.configure(loadsPerSecond, burst, now);
    m_maxConcurrent = maxConcurrent;
}

core::monotonic_time rate_limited_load_budget::earliestStart(core::monotonic_time now)
{
    if (m_runningLoads >= m_maxConcurrent) {
        return now + unknownDelay;
    }
    return now + std::min<std::chrono::nanoseconds>(m_rateLimiter.timeUntilToken(now), unknownDelay);
}

bool rate_limited_load_budget::tryStart(core::monotonic_time now)
{
    if (m_runningLoads >= m_maxConcurrent || !m_rateLimiter.tryAcquire(now)) {
        return false;
    }
    ++m_runningLoads;
    return true;
}

void rate_limited_load_budget::loadEnded(core::monotonic_time /*now*/)
{
    if (m_runningLoads > 0) {
        --m_runningLoads;
    }
}

} // namespace medlarrack::adapter_cache
