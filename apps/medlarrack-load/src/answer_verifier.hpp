#pragma once

#include "planned_request.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace medlarrack::load {

/// Verdict on one answer.
enum class verdict {
    right,
    /// The answer is not the one that the request's model gives for its prompt, or belongs to another request.
    wrong_answer,
    /// It states or shows another adapter or version than asked for.
    wrong_adapter,
    /// It looks whole to HTTP but isn't.
    truncated,
    /// It isn't in the API's form.
    malformed,
};

/// "right", "wrong_answer" and so on.
[[nodiscard]] std::string_view toString(verdict value);

/// The text that the stand-in engine gives; see docs/PROTOCOLS.md.
[[nodiscard]] std::string expectedText(std::string_view model, std::string_view prompt, std::size_t tokens);

/// Checks the answer to a completion. ranAs is the adapter and version that the answer states, empty when it states
/// none. The body is the whole answer: JSON, or server-sent events when it was streamed.
[[nodiscard]] verdict verifyCompletion(const planned_request &request, std::string_view ranAs, std::string_view body);

/// Checks the answer of a service stand-in to a call under a key.
[[nodiscard]] verdict verifyServiceCall(const planned_request &request, std::string_view key, std::string_view body);

/// Outcome that an error answer states; nothing when it isn't in the API's form.
[[nodiscard]] std::optional<core::outcome> errorOutcome(std::string_view body, std::string &code);

} // namespace medlarrack::load
