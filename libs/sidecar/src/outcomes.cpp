#include "outcomes.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace medlarrack::sidecar::detail {
namespace {

/// Breaks that say something of the answer or of the time, not of the target's process.
constexpr std::array<std::string_view, 6> breaksOfALiveTarget = {"timeout",          "wrong_model",  "crossed_answer",
                                                                 "answer_too_large", "engine_error", "cancelled"};

} // namespace

peer::run_refused notRun(const core::reason &why, bool tryElsewhere)
{
    peer::run_refused message;
    message.outcome = core::outcome::not_run;
    message.code = why.code;
    message.message = why.message;
    message.tryElsewhere = tryElsewhere;
    return message;
}

peer::run_refused notRun(const refusal &refused)
{
    peer::run_refused message = notRun(refused.why, refused.tryElsewhere);
    message.retryAfter = refused.retryAfter;
    return message;
}

peer::run_refused keyRefused(const idempotency::send_refusal &refused)
{
    peer::run_refused message;
    message.outcome = refused.outcome;
    message.code = refused.code;
    message.message = refused.holderId.empty() ? "the request's idempotency key allows no run here"
                                               : "the request's idempotency key belongs to " + refused.holderId;
    message.retryAfter = refused.retryAfter;
    return message;
}

peer::run_refused withoutAnswer(const active_request &request, const engine::call_result &result)
{
    if (result.end == engine::call_end::not_sent) {
        const bool badBody = result.why.code == "bad_body";
        return notRun(badBody ? result.why : core::reason{"target_unreachable", result.why.message}, !badBody);
    }
    if (result.end == engine::call_end::declined) {
        return notRun(result.why, true);
    }
    peer::run_refused message;
    message.outcome = core::outcome::unknown;
    message.code = request.brokenOff.code.empty() ? result.why.code : request.brokenOff.code;
    message.message = request.brokenOff.code.empty() ? result.why.message : request.brokenOff.message;
    message.tryElsewhere = request.request.idempotent;
    if (request.crashed) {
        message.targetCrashed = true;
        message.code = "target_crashed";
        message.message = "the target stopped while the request ran there";
    }
    return message;
}

bool maybeCrash(const engine::call_result &result)
{
    if (result.end != engine::call_end::broken) {
        return false;
    }
    return std::find(breaksOfALiveTarget.begin(), breaksOfALiveTarget.end(), result.why.code)
        == breaksOfALiveTarget.end();
}

} // namespace medlarrack::sidecar::detail
