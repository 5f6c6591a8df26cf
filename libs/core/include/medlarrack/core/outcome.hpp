#pragma once

#include <optional>
#include <string_view>

namespace medlarrack::core {

/// What is known about the run of a request when its answer or error is given.
enum class outcome {
    /// The target ran the request.
    ran,
    /// It is proven that no target ran the request and that none will.
    not_run,
    /// Neither is proven.
    unknown,
};

/// The name used in error bodies and messages: "ran", "not_run" or "unknown".
[[nodiscard]] std::string_view toString(outcome value);

/// Inverse of toString(); nothing for any other text.
[[nodiscard]] std::optional<outcome> outcomeFromString(std::string_view text);

} // namespace medlarrack::core
