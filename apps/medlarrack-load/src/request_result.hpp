#pragma once

#include "answer_verifier.hpp"
#include "planned_request.hpp"

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::load {

/// How one sending of a request ended for its caller.
enum class result_kind {
    /// Answered whole and right, within the deadline.
    answered,
    /// Answered whole and right, after the deadline.
    late,
    /// Refused with an error that says "not run".
    not_run,
    /// An error that says that the request ran.
    error_ran,
    /// An error that says that it isn't known whether the request ran.
    error_unknown,
    /// No entry took the connection.
    unreachable,
    /// Time was up at the caller.
    timed_out,
    /// The answer broke off visibly.
    cut_off,
    /// The answer is wrong in one of the ways of verdict.
    wrong,
    /// An error that doesn't state its outcome.
    bad_error,
};

/// All kinds in order.
inline constexpr std::array<result_kind, 10> allResultKinds = {
    result_kind::answered,      result_kind::late,        result_kind::not_run,   result_kind::error_ran,
    result_kind::error_unknown, result_kind::unreachable, result_kind::timed_out, result_kind::cut_off,
    result_kind::wrong,         result_kind::bad_error};

/// "answered", "late" and so on.
[[nodiscard]] std::string_view toString(result_kind value);

/// What one sending of a request came to.
struct request_result
{
    planned_request request;
    result_kind kind = result_kind::unreachable;
    verdict answer = verdict::right;
    /// The idempotency key sent; empty without one.
    std::string key;
    /// X-Request-Id of the answer.
    std::string requestId;
    /// Status of the answer, 0 without one.
    int status = 0;
    /// Code of the error answer or of the transport's failure.
    std::string code;
    /// What the caller knows of the run; nothing when the entry was not reached.
    core::outcome outcome = core::outcome::unknown;
    std::chrono::microseconds latency{0};
    /// Time to the first piece of a streamed answer.
    std::optional<std::chrono::microseconds> firstToken;
    std::optional<std::chrono::milliseconds> loadStall;
    std::size_t tokens = 0;
};

} // namespace medlarrack::load
