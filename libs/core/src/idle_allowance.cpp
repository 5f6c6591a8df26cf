#include <medlarrack/core/idle_allowance.hpp>

#include <algorithm>

namespace medlarrack::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Callers are told whole seconds.
constexpr seconds minReusableTime{1};
constexpr milliseconds minMargin{1'000};
/// A longer idle time leaves more room for callers on slow links.
constexpr int marginShare = 5;

milliseconds marginOf(milliseconds idleTimeout)
{
    return std::max(minMargin, idleTimeout / marginShare);
}

} // namespace

idle_allowance::idle_allowance(milliseconds idleTimeout)
    : m_timeout(idleTimeout)
{
}

seconds idle_allowance::announce(milliseconds idleTimeout)
{
    const milliseconds margin = marginOf(idleTimeout);
    const seconds reusable = std::max(minReusableTime, std::chrono::floor<seconds>(idleTimeout - margin));
    m_promised = reusable + margin;
    return reusable;
}

void idle_allowance::onIdle(milliseconds idleTimeout)
{
    m_timeout = std::max(idleTimeout, m_promised);
}

void idle_allowance::onStateChange(milliseconds idleTimeout)
{
    m_timeout = std::max(m_timeout, idleTimeout);
}

milliseconds idle_allowance::timeout() const
{
    return m_timeout;
}

} // namespace medlarrack::core
