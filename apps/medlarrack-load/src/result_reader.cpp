#include "result_reader.hpp"

#include <charconv>

namespace medlarrack::load {

namespace {

constexpr int statusOk = 200;

std::string headerText(const http::header_list &headers, std::string_view name)
{
    return std::string(http::findHeader(headers, name).value_or(""));
}

std::optional<std::chrono::milliseconds> readStall(const http::header_list &headers)
{
    const auto text = http::findHeader(headers, "X-Load-Stall-Ms");
    if (!text) {
        return std::nullopt;
    }
    double value = 0;
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), value);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(static_cast<std::int64_t>(value));
}

// The answer never came or broke off.
void readBroken(const exchange &answer, request_result &result)
{
    result.code = answer.end.errorCode;
    if (answer.end.progress == http::client_progress::not_sent) {
        result.kind = result_kind::unreachable;
        result.outcome = core::outcome::not_run;
    } else if (answer.end.errorCode == "timeout") {
        result.kind = result_kind::timed_out;
    } else {
        result.kind = result_kind::cut_off;
    }
}

void readError(const exchange &answer, request_result &result)
{
    const auto outcome = errorOutcome(answer.body, result.code);
    if (!outcome) {
        result.kind = result_kind::bad_error;
        return;
    }
    result.outcome = *outcome;
    switch (*outcome) {
    case core::outcome::ran:
        result.kind = result_kind::error_ran;
        break;
    case core::outcome::not_run:
        result.kind = result_kind::not_run;
        break;
    case core::outcome::unknown:
        result.kind = result_kind::error_unknown;
        break;
    }
}

// A stream that fails after its head ends with an error event in place of its end mark.
bool endsWithErrorEvent(const planned_request &request, const exchange &answer, request_result &result)
{
    constexpr std::string_view mark = "data: {\"error\"";
    const std::size_t position = answer.body.rfind(mark);
    if (!request.stream || position == std::string::npos) {
        return false;
    }
    std::string_view event = std::string_view(answer.body).substr(position + std::string_view("data: ").size());
    event = event.substr(0, event.find('\n'));
    const auto outcome = errorOutcome(event, result.code);
    result.outcome = outcome.value_or(core::outcome::unknown);
    return true;
}

void readAnswer(const exchange &answer, const std::string &key, request_result &result)
{
    const planned_request &request = result.request;
    if (endsWithErrorEvent(request, answer, result)) {
        result.kind = result_kind::cut_off;
        return;
    }
    result.outcome = core::outcome::ran;
    const bool isCall = request.kind == request_kind::service_call;
    result.answer = isCall ? verifyServiceCall(request, key, answer.body)
                           : verifyCompletion(request, headerText(answer.headers, "X-Adapter"), answer.body);
    if (result.answer != verdict::right) {
        result.kind = result_kind::wrong;
        return;
    }
    result.tokens = request.maxTokens;
    result.firstToken = request.stream ? answer.firstPiece : std::nullopt;
    result.kind = answer.latency > request.deadline ? result_kind::late : result_kind::answered;
}

} // namespace

request_result readResult(const planned_request &request, const std::string &key, const exchange &answer)
{
    request_result result;
    result.request = request;
    result.key = key;
    result.status = answer.end.status;
    result.requestId = headerText(answer.headers, "X-Request-Id");
    result.latency = answer.latency;
    result.loadStall = readStall(answer.headers);
    if (answer.end.progress != http::client_progress::complete) {
        readBroken(answer, result);
    } else if (answer.end.status != statusOk) {
        readError(answer, result);
    } else {
        readAnswer(answer, key, result);
    }
    return result;
}

} // namespace medlarrack::load
