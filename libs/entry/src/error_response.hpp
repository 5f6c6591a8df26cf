#pragma once

#include <medlarrack/core/outcome.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace medlarrack::http {
class responder;
}

namespace medlarrack::entry {

/// An error as returned to a caller.
struct error_response
{
    int status = 500;
    /// Stable code in snake case.
    std::string code;
    std::string message;
    core::outcome outcome = core::outcome::not_run;
    /// Delay after which the caller may retry; zero when unknown.
    std::chrono::milliseconds retryAfter{0};
};

/// {"error": {"message", "type", "code", "outcome"}}.
[[nodiscard]] std::string toJson(const error_response &error);

/// HTTP status for a sidecar's refusal.
[[nodiscard]] int httpStatusOf(std::string_view refusalCode, core::outcome outcome);

/// Sends an error as a complete response. The request id may be empty.
void respondError(http::responder &responder, const error_response &error, std::string_view requestId);

} // namespace medlarrack::entry
