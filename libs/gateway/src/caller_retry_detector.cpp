#include <medlarrack/gateway/caller_retry_detector.hpp>

#include <algorithm>

namespace medlarrack::gateway {

namespace {

using std::chrono::milliseconds;

/// Share of the usual time below which a caller has come before: a failed try and the pause before the next cost more.
constexpr double returningShare = 0.9;
/// Share of the usual time that is forgotten with each request, so that one odd deadline doesn't count for long.
constexpr double forgotten = 0.002;
/// Routes remembered at most.
constexpr std::size_t maxRoutes = 4'096;
/// Share of the time for a request, in hundredths, and longest time that it is held for a first-time caller.
constexpr int firstTimeShare = 30;
constexpr milliseconds longestFirstTime{1'500};
/// Time kept for the answer itself: a stream of an engine takes 0.5 to 0.9 s.
constexpr milliseconds answerTime{1'200};
/// Time kept for the way to the first event.
constexpr milliseconds firstEventTime{300};

} // namespace

bool caller_retry_detector::recordRequest(std::string_view route, milliseconds timeLeft)
{
    if (m_usual.size() >= maxRoutes && !m_usual.contains(route)) {
        m_usual.clear();
    }
    auto &usual = m_usual[std::string(route)];
    usual = std::max<std::chrono::duration<double, std::milli>>(usual * (1 - forgotten), timeLeft);
    return timeLeft < usual * returningShare;
}

milliseconds maxHoldTime(milliseconds timeLeft, milliseconds patience, bool returning)
{
    const milliseconds first = std::min(longestFirstTime, timeLeft * firstTimeShare / 100);
    return returning ? std::max(first, std::min(timeLeft - answerTime, patience - firstEventTime)) : first;
}

} // namespace medlarrack::gateway
