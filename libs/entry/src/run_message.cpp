#include "run_message.hpp"

#include <algorithm>

namespace medlarrack::entry {

namespace {

/// Margin between the sidecar's deadline and the caller's, for the transfer of a refusal: one tenth of the remaining
/// time, bounded by a maximum.
constexpr int replyMarginDivisor = 10;
constexpr std::chrono::milliseconds maxReplyMargin{25};

std::chrono::milliseconds sidecarDeadline(std::chrono::nanoseconds timeLeft)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft);
    return remaining - std::min<std::chrono::milliseconds>(remaining / replyMarginDivisor, maxReplyMargin);
}

} // namespace

peer::run_request makeRunRequest(const call &request, std::chrono::nanoseconds timeLeft)
{
    peer::run_request message;
    message.requestId = request.requestId;
    message.kind = request.kind;
    message.operatorName = request.operatorName;
    message.priority = request.priority;
    message.deadlineLeft = sidecarDeadline(timeLeft);
    message.adapter = request.adapter;
    message.baseModel = request.baseModel;
    message.service = request.service;
    message.method = request.method;
    message.path = request.path;
    message.headers = request.headers;
    message.body = request.body;
    message.idempotent = request.idempotent;
    message.idempotencyKey = request.idempotencyKey;
    message.stream = request.stream;
    message.fingerprint = request.fingerprint;
    return message;
}

} // namespace medlarrack::entry
