#include "error_response.hpp"

#include <medlarrack/http/responder.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace medlarrack::entry {

namespace {

std::string_view typeOf(int status)
{
    switch (status) {
    case 401:
        return "authentication_error";
    case 403:
        return "permission_error";
    case 404:
        return "not_found_error";
    case 429:
        return "rate_limit_error";
    default:
        return status < 500 ? "invalid_request_error" : "server_error";
    }
}

constexpr std::array<std::pair<std::string_view, int>, 14> refusalStatus = {{
    {"bad_idempotency_key", 400},
    {"bad_request", 400},
    {"unknown_adapter", 404},
    {"unknown_version", 404},
    {"unknown_model", 404},
    {"unknown_service", 404},
    {"key_conflict", 409},
    {"key_running", 409},
    {"suspected_crash", 422},
    {"operator_limit", 429},
    {"deadline_exceeded", 504},
    {"deadline_too_short", 504},
    {"load_failed", 502},
    {"target_crashed", 502},
}};

} // namespace

std::string toJson(const error_response &error)
{
    const nlohmann::json body = {{"error",
                                  {{"message", error.message},
                                   {"type", typeOf(error.status)},
                                   {"code", error.code},
                                   {"outcome", core::toString(error.outcome)}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

int httpStatusOf(std::string_view refusalCode, core::outcome outcome)
{
    for (const auto &[code, status] : refusalStatus) {
        if (code == refusalCode) {
            return status;
        }
    }
    return outcome == core::outcome::not_run ? 503 : 502;
}

void respondError(http::responder &responder, const error_response &error, std::string_view requestId)
{
    http::header_list headers = {{"Content-Type", "application/json"}};
    if (!requestId.empty()) {
        headers.emplace_back("X-Request-Id", requestId);
    }
    if (error.status == 401) {
        headers.emplace_back("WWW-Authenticate", "Bearer");
    }
    if (error.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retryAfter);
        headers.emplace_back("Retry-After", std::to_string(seconds.count()));
    }
    responder.respond(error.status, std::move(headers), toJson(error));
}

} // namespace medlarrack::entry
