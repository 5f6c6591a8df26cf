#include <medlarrack/agent/failure_rate.hpp>

#include <cmath>

namespace medlarrack::agent {

namespace {

/// Time constant of the decay; a recovered engine is used again after about this time.
constexpr std::chrono::duration<double> decayTime{2.0};
/// Below this number of recent requests the rate is reported as 0.
constexpr double minRequests = 4;
/// Restarts that follow each other within this time keep the failure counts.
constexpr std::chrono::seconds repeatedRestartWindow{6};

} // namespace

void failure_rate::record(std::uint32_t succeeded, std::uint32_t failed, core::monotonic_time now)
{
    const double factor = decayFactor(now);
    m_succeeded = m_succeeded * factor + succeeded;
    m_failed = m_failed * factor + failed;
    m_updatedAt = now;
}

void failure_rate::onEngineRestart(core::monotonic_time now)
{
    if (now - m_restartedAt > repeatedRestartWindow) {
        m_succeeded = 0;
        m_failed = 0;
    }
    m_restartedAt = now;
}

double failure_rate::rate(core::monotonic_time now) const
{
    const double total = (m_succeeded + m_failed) * decayFactor(now);
    return total < minRequests ? 0 : m_failed / (m_succeeded + m_failed);
}

double failure_rate::decayFactor(core::monotonic_time now) const
{
    return std::exp(-std::chrono::duration<double>(now - m_updatedAt) / decayTime);
}

} // namespace medlarrack::agent
