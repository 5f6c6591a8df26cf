#pragma once

#include <medlarrack/http/message.hpp>
#include <medlarrack/http/responder.hpp>

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::standins {

/// The body as a JSON object; nothing for anything else.
[[nodiscard]] std::optional<nlohmann::json> parseObject(std::string_view body);

/// Answers with JSON.
void reply(http::responder &answer, int status, const nlohmann::json &body);

/// Answers with {"error": {"code", "message"}}.
void replyError(http::responder &answer, int status, std::string_view code, std::string_view message);

/// The value of a key when it is there and a text.
[[nodiscard]] std::string textOf(const nlohmann::json &object, const char *key);

/// The value of a key when it is there and an integer.
[[nodiscard]] std::optional<long long> integerOf(const nlohmann::json &object, const char *key);

/// A decimal number in a query parameter.
[[nodiscard]] std::optional<long long> integerQuery(const http::request &request, std::string_view name);

} // namespace medlarrack::standins
