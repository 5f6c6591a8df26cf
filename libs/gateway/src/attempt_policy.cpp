#include <medlarrack/gateway/attempt_policy.hpp>

#include <algorithm>

namespace medlarrack::gateway {

namespace {

/// Rejections after which a request is refused: replicas that reject one after the other are all full or all leaving.
constexpr std::uint32_t maxRejections = 3;
/// Twice the latency target: an answer of a sound replica is there by then, and a second one still comes in time for
/// most of what it is worth.
constexpr int patienceFactor = 2;
/// Callers abandon a stream after a silence of two seconds, four times the latency target or eight times the longest
/// pause, whichever is longest: what the users say of their callers.
constexpr std::chrono::milliseconds shortestCallerPatience{2'000};
constexpr int targetsWaited = 4;
constexpr int gapsWaited = 8;
/// Another replica's answer still comes before the shortest of these.
constexpr std::chrono::milliseconds longestPatience{1'500};
constexpr std::chrono::milliseconds shortestGapPatience{600};

} // namespace

bool mayRetry(const catalog::route &route, attempt_outcome end, const attempt_history &history)
{
    if (history.rejections >= maxRejections) {
        return false;
    }
    if (end == attempt_outcome::not_run) {
        // A run elsewhere isn't behind it, or the route allows another one.
        return history.runs < std::max(1U, route.maxAttempts);
    }
    return catalog::mayRunAgain(route) && history.runs < route.maxAttempts;
}

std::chrono::milliseconds callerIdleTimeout(const catalog::route &route)
{
    return std::max({shortestCallerPatience, route.latencyTarget * targetsWaited, route.gapTarget * gapsWaited});
}

std::chrono::milliseconds answerTimeout(const catalog::route &route)
{
    return std::min(longestPatience, route.latencyTarget * patienceFactor);
}

std::chrono::milliseconds eventGapTimeout(const catalog::route &route)
{
    return std::clamp(route.gapTarget * patienceFactor, shortestGapPatience, longestPatience);
}

} // namespace medlarrack::gateway
