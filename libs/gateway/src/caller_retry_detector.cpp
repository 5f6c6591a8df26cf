#include <medlarrack/gateway/caller_retry_detector.hpp>

#include <algorithm>

namespace medlarrack::gateway {

namespace {

using std::chrono::milliseconds;

/// Fraction of the usual time below which a request counts as a retry: a failed attempt and the pause before the next
/// one take more than the rest.
constexpr double retryTimeFraction = 0.9;
/// Fraction by which the usual time decays with each request, so that a single unusual deadline has no lasting effect.
constexpr double decayPerRequest = 0.002;
/// Limit of routes with a usual time.
constexpr std::size_t maxRoutes = 4'096;
/// Percentage of its time for which a first attempt is held, and the upper limit of that.
constexpr int firstAttemptHoldPercent = 30;
constexpr milliseconds maxFirstAttemptHold{1'500};
/// Time reserved for the answer: a stream of an engine takes 0.5 to 0.9 s.
constexpr milliseconds answerTime{1'200};
/// Time reserved for the first event to reach the caller.
constexpr milliseconds firstEventTime{300};

} // namespace

bool caller_retry_detector::recordRequest(std::string_view route, milliseconds timeLeft)
{
    if (m_usualTime.size() >= maxRoutes && !m_usualTime.contains(route)) {
        m_usualTime.clear();
    }
    auto &usual = m_usualTime[std::string(route)];
    usual = std::max<std::chrono::duration<double, std::milli>>(usual * (1 - decayPerRequest), timeLeft);
    return timeLeft < usual * retryTimeFraction;
}

milliseconds maxHoldTime(milliseconds timeLeft, milliseconds callerIdleTimeout, bool isRetry)
{
    const milliseconds firstAttemptHold = std::min(maxFirstAttemptHold, timeLeft * firstAttemptHoldPercent / 100);
    return isRetry ? std::max(firstAttemptHold, std::min(timeLeft - answerTime, callerIdleTimeout - firstEventTime))
                   : firstAttemptHold;
}

} // namespace medlarrack::gateway
