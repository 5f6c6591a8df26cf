#include "run_message.hpp"

#include <algorithm>

namespace medlarrack::entry {

namespace {

/// Part of the time left that is kept for the refusal's way back, and its bound.
constexpr int answerShare = 10;
constexpr std::chrono::milliseconds maxAnswerTime{25};

std::chrono::milliseconds sidecarDeadline(std::chrono::nanoseconds left)
{
    const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(left);
    return whole - std::min<std::chrono::milliseconds>(whole / answerShare, maxAnswerTime);
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
