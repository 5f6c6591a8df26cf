#include <medlarrack/agent/load_pacer.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarrack::agent {

namespace {

using seconds = std::chrono::duration<double>;

/// Time of a load from an idle store until some were measured.
constexpr std::chrono::milliseconds assumedLoadTime{300};
constexpr std::chrono::milliseconds shortestLoadTime{1};
/// Measured loads after which the assumption is dropped, even if all of them took longer.
constexpr std::size_t loadsForEstimate = 8;
/// The second shortest load of a period raises the estimate of the idle time. While the store is congested all the time
/// even that load is too long, so the estimate rises slowly.
constexpr std::chrono::seconds estimatePeriod{30};
constexpr std::size_t loadsPerPeriod = 4;
constexpr double maxEstimateRise = 1.15;
/// Limit at the start: after a loss of power all engines are empty and load at once.
constexpr double initialLimit = 1;
/// A fraction of a load at a time is a pause of a few loads. Loads that are slow for another reason than congestion
/// don't reduce the limit further.
constexpr double minLimit = 0.15;
/// Engines fetch no more adapters than this at a time.
constexpr double maxLimit = 4;
/// Multiple of the idle time from which the store counts as congested. Reports add up to two polls to each load.
constexpr double congestedFactor = 1.25;
/// Rise per second while loads aren't slowed down. It doesn't depend on the number of loads, so that limits of engines
/// approach each other.
constexpr double risePerSecond = 0.8;
/// Rise by one load until one was slowed down.
constexpr double firstRise = 1;
/// Largest rise by one load after that.
constexpr double maxRise = 0.5;
/// Pauses are longer or shorter by up to this share.
constexpr double pauseSpread = 0.5;
/// Factors of the limit for a load that was slowed down.
constexpr double maxReduction = 0.5;
constexpr double minReduction = 0.7;
/// Time constant with which the expected time returns to that of an idle store while there are no loads.
constexpr seconds forgetTime{3};
/// Weight of the newest load in the expected time.
constexpr double newestWeight = 0.3;

} // namespace

load_pacer::load_pacer(std::uint32_t seed)
    : m_limit(initialLimit)
    , m_loadTime(assumedLoadTime)
    , m_idleTime(assumedLoadTime)
    , m_random(seed)
{
}

void load_pacer::recordLoad(core::monotonic_time startedAt, core::monotonic_time endedAt)
{
    // Two reports of the same tick may show the start and the end.
    const std::chrono::nanoseconds time = std::max<std::chrono::nanoseconds>(endedAt - startedAt, shortestLoadTime);
    updateIdleTime(time, endedAt);
    const double slowdown = seconds(time) / seconds(m_idleTime);
    if (slowdown < congestedFactor) {
        const double rise = std::min(maxRise, risePerSecond * seconds(endedAt - m_lastEnd).count());
        m_limit = std::min(maxLimit, m_limit + (m_wasCongested ? rise : firstRise));
    } else if (startedAt >= m_reducedAt) {
        m_limit = std::max(minLimit, m_limit * std::clamp(congestedFactor / slowdown, maxReduction, minReduction));
        m_reducedAt = endedAt;
        m_wasCongested = true;
    }
    m_lastEnd = endedAt;
    m_pauseFactor = std::uniform_real_distribution<double>(1 - pauseSpread, 1 + pauseSpread)(m_random);
    m_loadTime += std::chrono::duration_cast<std::chrono::nanoseconds>((time - m_loadTime) * newestWeight);
}

void load_pacer::updateIdleTime(std::chrono::nanoseconds time, core::monotonic_time now)
{
    if (m_period.loads == 0) {
        m_period = {now, std::chrono::nanoseconds::max(), std::chrono::nanoseconds::max(), 0};
    }
    ++m_period.loads;
    if (time < m_period.shortest) {
        m_period.secondShortest = std::exchange(m_period.shortest, time);
    } else {
        m_period.secondShortest = std::min(m_period.secondShortest, time);
    }
    m_idleTime = std::min(m_idleTime, m_period.secondShortest);
    if (m_isIdleTimeAssumed && m_period.loads >= loadsForEstimate) {
        m_isIdleTimeAssumed = false;
        m_idleTime = m_period.secondShortest;
    }
    if (m_period.loads >= loadsPerPeriod && now - m_period.beganAt >= estimatePeriod) {
        m_idleTime = std::min(m_period.secondShortest,
                              std::chrono::duration_cast<std::chrono::nanoseconds>(m_idleTime * maxEstimateRise));
        m_period.loads = 0;
    }
}

bool load_pacer::mayStart(std::size_t inProgress, core::monotonic_time now) const
{
    if (m_limit >= 1) {
        return static_cast<double>(inProgress) + 1 <= m_limit;
    }
    const auto pause = seconds(loadTime(now)) * (1 / m_limit - 1) * m_pauseFactor;
    return inProgress == 0 && now - m_lastEnd >= pause;
}

double load_pacer::limit() const
{
    return m_limit;
}

std::chrono::nanoseconds load_pacer::idleLoadTime() const
{
    return m_idleTime;
}

std::chrono::nanoseconds load_pacer::loadTime(core::monotonic_time now) const
{
    const double weight = std::exp(-seconds(now - m_lastEnd) / forgetTime);
    return m_idleTime + std::chrono::duration_cast<std::chrono::nanoseconds>((m_loadTime - m_idleTime) * weight);
}

} // namespace medlarrack::agent
