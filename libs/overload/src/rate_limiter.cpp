#include <medlarrack/overload/rate_limiter.hpp>

#include <algorithm>

namespace medlarrack::overload {

rate_limiter::rate_limiter(double tokensPerSecond, double burst, core::monotonic_time now)
    : m_tokensPerSecond(std::max(tokensPerSecond, 0.0))
    , m_burst(std::max(burst, 1.0))
    , m_tokens(m_burst)
    , m_lastRefill(now)
{
}

bool rate_limiter::tryAcquire(core::monotonic_time now)
{
    refill(now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

std::chrono::nanoseconds rate_limiter::timeUntilToken(core::monotonic_time now)
{
    refill(now);
    if (m_tokens >= 1) {
        return std::chrono::nanoseconds::zero();
    }
    if (m_tokensPerSecond <= 0) {
        return std::chrono::nanoseconds::max();
    }
    const std::chrono::duration<double> missing((1 - m_tokens) / m_tokensPerSecond);
    return std::chrono::ceil<std::chrono::nanoseconds>(missing);
}

void rate_limiter::configure(double tokensPerSecond, double burst, core::monotonic_time now)
{
    refill(now);
    m_tokensPerSecond = std::max(tokensPerSecond, 0.0);
    m_burst = std::max(burst, 1.0);
    m_tokens = std::min(m_tokens, m_burst);
}

void rate_limiter::refill(core::monotonic_time now)
{
    if (now <= m_lastRefill) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - m_lastRefill;
    m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_tokensPerSecond);
    m_lastRefill = now;
}

} // namespace medlarrack::overload
