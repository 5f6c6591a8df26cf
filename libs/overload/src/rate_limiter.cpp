#include <medlarrack/overload/rate_limiter.hpp>

#include <algorithm>

namespace medlarrack::overload {

rate_limiter::rate_limiter(double perSecond, double burst, core::monotonic_time now)
    : m_perSecond(std::max(perSecond, 0.0))
    , m_burst(std::max(burst, 1.0))
    , m_tokens(m_burst)
    , m_refilled(now)
{
}

bool rate_limiter::tryTake(core::monotonic_time now)
{
    refill(now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

std::chrono::nanoseconds rate_limiter::timeToToken(core::monotonic_time now)
{
    refill(now);
    if (m_tokens >= 1) {
        return std::chrono::nanoseconds::zero();
    }
    if (m_perSecond <= 0) {
        return std::chrono::nanoseconds::max();
    }
    const std::chrono::duration<double> missing((1 - m_tokens) / m_perSecond);
    return std::chrono::ceil<std::chrono::nanoseconds>(missing);
}

void rate_limiter::configure(double perSecond, double burst, core::monotonic_time now)
{
    refill(now);
    m_perSecond = std::max(perSecond, 0.0);
    m_burst = std::max(burst, 1.0);
    m_tokens = std::min(m_tokens, m_burst);
}

void rate_limiter::refill(core::monotonic_time now)
{
    if (now <= m_refilled) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - m_refilled;
    m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_perSecond);
    m_refilled = now;
}

} // namespace medlarrack::overload
