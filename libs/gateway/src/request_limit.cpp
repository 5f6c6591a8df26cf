#include <medlarrack/gateway/request_limit.hpp>

#include <algorithm>
#include <cmath>

namespace medlarrack::gateway {

namespace {

/// Share of the limit that is used: processes are not synchronized, so that more may be sent in some seconds.
constexpr double usedShare = 0.8;
/// Requests per second of all processes together to a replica that takes none, so that the end of its limit is noticed.
constexpr double minPerSecond = 0.25;
/// Above any load; far larger credits would lose whole requests to rounding.
constexpr double maxPerSecond = 1e9;
/// How long a request that could have been sent may be sent later.
constexpr double creditLifetimeSeconds = 0.5;

double inSeconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void request_limit::update(std::optional<double> perSecond, double phase, core::monotonic_time sentAt,
                           core::monotonic_time now)
{
    if (!perSecond) {
        if (m_perSecond && sentAt > m_namedAt) {
            m_perSecond.reset();
        }
        return;
    }
    m_credit = m_perSecond ? creditAt(now) : phase;
    m_creditedAt = now;
    m_perSecond = std::min(*perSecond, maxPerSecond);
    m_namedAt = now;
}

void request_limit::setSharers(std::uint32_t count, core::monotonic_time now)
{
    if (count == 0 || count == m_sharers) {
        return;
    }
    m_credit = creditAt(now);
    m_creditedAt = now;
    m_sharers = count;
}

std::optional<double> request_limit::perSecond() const
{
    return m_perSecond;
}

bool request_limit::admits(core::monotonic_time now) const
{
    return !m_perSecond || creditAt(now) >= 1;
}

std::chrono::nanoseconds request_limit::timeToAdmission(core::monotonic_time now) const
{
    if (admits(now)) {
        return std::chrono::nanoseconds(0);
    }
    return std::chrono::ceil<std::chrono::nanoseconds>(std::chrono::duration<double>((1 - creditAt(now)) / share()));
}

void request_limit::recordRequest(core::monotonic_time now)
{
    if (m_perSecond) {
        m_credit = creditAt(now) - 1;
        m_creditedAt = now;
    }
}

double request_limit::share() const
{
    return std::max(*m_perSecond, minPerSecond) * usedShare / m_sharers;
}

double request_limit::creditAt(core::monotonic_time now) const
{
    if (!m_perSecond) {
        return m_credit;
    }
    const double credit = m_credit + inSeconds(now - m_creditedAt) * share();
    // Drops whole requests, which keeps the phase.
    const double expired = credit - 1 - creditLifetimeSeconds * share();
    return expired > 0 ? credit - std::ceil(expired) : credit;
}

} // namespace medlarrack::gateway
