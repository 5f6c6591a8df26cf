#include <medlarrack/gateway/attempt_policy.hpp>

#include <algorithm>

namespace medlarrack::gateway {

namespace {

/// Rejections after which a request is refused: after several in a row all replicas are probably full or leaving.
constexpr std::uint32_t maxRejections = 3;
/// Time-outs as a multiple of the target. A healthy replica answers within twice the latency target, and an answer of a
/// second replica is then still early enough to be useful.
constexpr int timeoutFactor = 2;
/// Callers abandon a stream after 2 s without an event, four times the latency target or eight times the gap target,
/// whichever is longest. Users report this of their callers.
constexpr std::chrono::milliseconds minCallerIdleTimeout{2'000};
constexpr int latencyTargetFactor = 4;
constexpr int gapTargetFactor = 8;
/// Leaves time for the answer of another replica within the shortest caller idle time-out.
constexpr std::chrono::milliseconds maxAttemptTimeout{1'500};
/// Healthy replicas may pause for about a second.
constexpr std::chrono::milliseconds minEventGapTimeout{1'400};
/// Time that is left for the next event of another replica.
constexpr std::chrono::milliseconds resumptionTime{600};

} // namespace

bool mayRetry(const catalog::route &route, attempt_outcome end, const attempt_history &history)
{
    if (history.rejections >= maxRejections) {
        return false;
    }
    if (end == attempt_outcome::not_run) {
        // Allowed if the request can't have run yet, or the route permits a further run.
        return history.runs < std::max(1U, route.maxAttempts);
    }
    return catalog::mayRetryAfterStart(route) && history.runs < route.maxAttempts;
}

std::chrono::milliseconds callerIdleTimeout(const catalog::route &route)
{
    return std::max(
        {minCallerIdleTimeout, route.latencyTarget * latencyTargetFactor, route.gapTarget * gapTargetFactor});
}

std::chrono::milliseconds answerTimeout(const catalog::route &route)
{
    return std::min(maxAttemptTimeout, route.latencyTarget * timeoutFactor);
}

std::chrono::milliseconds eventGapTimeout(const catalog::route &route)
{
    return std::clamp(route.gapTarget * timeoutFactor, minEventGapTimeout, callerIdleTimeout(route) - resumptionTime);
}

bool awaitsReplica(const attempt_history &history, const replica_choice &choice, bool isCallerRetry)
{
    if (history.runs > 0) {
        return choice.engineStarting || choice.saturated || choice.hindered;
    }
    return choice.engineStarting || (choice.saturated && isCallerRetry);
}

} // namespace medlarrack::gateway
