#include "outcomes.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace medlarrack::sidecar::detail {
namespace {

/// Errors that concern the answer, a time limit or a cancellation; they don't indicate that the target crashed.
constexpr std::array<std::string_view, 6> errorsFromLiveTarget = {"timeout",          "wrong_model",  "crossed_answer",
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

peer::run_refused failedRun(const active_request &request, const engine::call_result &result)
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
    message.code = request.abortReason.code.empty() ? result.why.code : request.abortReason.code;
    message.message = request.abortReason.code.empty() ? result.why.message : request.abortReason.message;
    message.tryElsewhere = request.request.idempotent;
    if (request.targetCrashed) {
        message.targetCrashed = true;
        message.code = "target_crashed";
        message.message = "the target stopped while the request ran there";
    }
    return message;
}

bool mayIndicateCrash(const engine::call_result &result)
{
    if (result.end != engine::call_end::broken) {
        return false;
    }
    return std::find(errorsFromLiveTarget.begin(), errorsFromLiveTarget.end(), result.why.code)
        == errorsFromLiveTarget.end();
}

} // namespace medlarrack::sidecar::detail
