#include "asked_rate.hpp"

#include <chrono>
#include <cmath>

namespace medlarrack::quota::detail {

namespace {

/// Follows a tenant that turns hot within a second, and doesn't take the gap between two requests for silence.
constexpr double decaySeconds = 1;

} // namespace

void asked_rate::record(double units, core::monotonic_time now)
{
    m_perSecond = perSecond(now) + units / decaySeconds;
    m_updatedAt = now;
}

double asked_rate::perSecond(core::monotonic_time now) const
{
    const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    return m_perSecond * std::exp(-std::max(0.0, seconds) / decaySeconds);
}

} // namespace medlarrack::quota::detail
