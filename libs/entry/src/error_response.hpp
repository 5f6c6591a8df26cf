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

/// An error as told to a caller.
struct error_answer
{
    int status = 500;
    /// Stable code in snake case.
    std::string code;
    std::string message;
    core::outcome outcome = core::outcome::not_run;
    /// When to come back; zero when not known.
    std::chrono::milliseconds retryAfter{0};
};

/// {"error": {"message", "type", "code", "outcome"}}.
[[nodiscard]] std::string toJson(const error_answer &error);

/// Status of a refusal by a sidecar.
[[nodiscard]] int statusOf(std::string_view refusalCode, core::outcome outcome);

/// Sends an error as a whole answer. The request id may be empty.
void respondError(http::responder &responder, const error_answer &error, std::string_view requestId);

} // namespace medlarrack::entry
