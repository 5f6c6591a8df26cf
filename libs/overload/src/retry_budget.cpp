#include <medlarrack/overload/retry_budget.hpp>

#include <algorithm>

namespace medlarrack::overload {

retry_budget::retry_budget(double share, double maxSaved, double perSecond, core::monotonic_time now)
    : m_share(share)
    , m_maxSaved(maxSaved)
    , m_free(perSecond, perSecond, now)
{
}

void retry_budget::onFirstAttempt()
{
    m_saved = std::min(m_maxSaved, m_saved + m_share);
}

bool retry_budget::tryRetry(core::monotonic_time now)
{
    if (m_saved >= 1) {
        m_saved -= 1;
        return true;
    }
    return m_free.tryTake(now);
}

} // namespace medlarrack::overload
