#include <medlarrack/agent/failure_rate.hpp>

#include <cmath>

namespace medlarrack::agent {

namespace {

/// Time constant with which requests are forgotten: an engine that is sound again is used again after about as long.
constexpr std::chrono::duration<double> memory{2.0};
/// Requests below which a share says nothing.
constexpr double leastRequests = 4;
/// Two starts within this time are a series.
constexpr std::chrono::seconds seriesTime{6};

} // namespace

void failure_rate::ended(std::uint32_t succeeded, std::uint32_t failed, core::monotonic_time now)
{
    const double kept = remaining(now);
    m_succeeded = m_succeeded * kept + succeeded;
    m_failed = m_failed * kept + failed;
    m_at = now;
}

void failure_rate::restarted(core::monotonic_time now)
{
    if (now - m_restartedAt > seriesTime) {
        m_succeeded = 0;
        m_failed = 0;
    }
    m_restartedAt = now;
}

double failure_rate::share(core::monotonic_time now) const
{
    const double all = (m_succeeded + m_failed) * remaining(now);
    return all < leastRequests ? 0 : m_failed / (m_succeeded + m_failed);
}

double failure_rate::remaining(core::monotonic_time now) const
{
    return std::exp(-std::chrono::duration<double>(now - m_at) / memory);
}

} // namespace medlarrack::agent
