#include "rate_limit.hpp"

#include <algorithm>
#include <chrono>

namespace medlarrack::standins {

void rate_limit::setRate(double perSecond)
{
    m_perSecond = perSecond;
}

bool rate_limit::take(core::monotonic_time now)
{
    if (m_perSecond <= 0) {
        return true;
    }
    const double most = std::max(m_perSecond, 1.0);
    if (!m_started) {
        m_started = true;
        m_tokens = most;
    } else {
        m_tokens = std::min(most, m_tokens + m_perSecond * std::chrono::duration<double>(now - m_last).count());
    }
    m_last = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace medlarrack::standins
