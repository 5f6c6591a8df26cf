#include "json_reply.hpp"

#include <nlohmann/json.hpp>

#include <charconv>

namespace medlarrack::standins {

std::optional<nlohmann::json> parseObject(std::string_view body)
{
    auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    return parsed;
}

void reply(http::responder &answer, int status, const nlohmann::json &body)
{
    // Texts that aren't UTF-8 are replaced rather than thrown on.
    constexpr auto replace = nlohmann::json::error_handler_t::replace;
    answer.respond(status, {{"Content-Type", "application/json"}}, body.dump(-1, ' ', false, replace));
}

void replyError(http::responder &answer, int status, std::string_view code, std::string_view message)
{
    reply(answer, status, {{"error", {{"code", code}, {"message", message}}}});
}

std::string textOf(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::optional<long long> integerOf(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_integer()) {
        return std::nullopt;
    }
    return found->get<long long>();
}

std::optional<long long> integerQuery(const http::request &request, std::string_view name)
{
    const auto text = request.query(name);
    if (!text) {
        return std::nullopt;
    }
    long long value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end != text->data() + text->size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace medlarrack::standins
