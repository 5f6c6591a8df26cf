#pragma once

#include "generation.hpp"

#include <medlarrack/core/reason.hpp>

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::standins {

/// A completion request as read from its body.
struct completion_request
{
    std::shared_ptr<generation> work;
    bool stream = false;
};

/// Reads an OpenAI completion or chat completion body; nothing with a reason when it is none.
[[nodiscard]] std::optional<completion_request> readCompletion(const nlohmann::json &body, bool chat,
                                                               core::reason &why);

/// One server-sent event with one token; the last one carries the finish reason.
[[nodiscard]] std::string tokenEvent(const generation &from, std::string_view id, int index, std::string_view text);

/// The whole answer.
[[nodiscard]] nlohmann::json wholeAnswer(const generation &from, std::string_view id, std::string_view text);

/// The end mark of a stream.
constexpr std::string_view doneEvent = "data: [DONE]\n\n";

} // namespace medlarrack::standins
