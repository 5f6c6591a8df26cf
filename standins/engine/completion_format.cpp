#include "completion_format.hpp"

#include "common/json_reply.hpp"

#include <nlohmann/json.hpp>

namespace medlarrack::standins {

namespace {

constexpr int defaultMaxTokens = 16;
constexpr int mostTokens = 1'000'000;
/// Bytes of prompt that count as one token in "usage".
constexpr std::size_t bytesPerPromptToken = 4;

std::optional<std::string> promptOf(const nlohmann::json &body, bool chat)
{
    if (!chat) {
        const auto prompt = body.find("prompt");
        if (prompt == body.end() || !prompt->is_string()) {
            return std::nullopt;
        }
        return prompt->get<std::string>();
    }
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty() || !messages->back().is_object()) {
        return std::nullopt;
    }
    const auto content = messages->back().find("content");
    if (content == messages->back().end() || !content->is_string()) {
        return std::nullopt;
    }
    return content->get<std::string>();
}

} // namespace

std::optional<completion_request> readCompletion(const nlohmann::json &body, bool chat, core::reason &why)
{
    auto prompt = promptOf(body, chat);
    const auto tokens = integerOf(body, "max_tokens").value_or(defaultMaxTokens);
    if (!prompt || textOf(body, "model").empty()) {
        why = {"bad_request", chat ? "model and messages are needed" : "model and prompt are needed"};
        return std::nullopt;
    }
    if (tokens < 1 || tokens > mostTokens) {
        why = {"bad_request", "max_tokens is out of range"};
        return std::nullopt;
    }
    completion_request read;
    read.work = std::make_shared<generation>();
    read.work->model = textOf(body, "model");
    read.work->prompt = std::move(*prompt);
    read.work->chat = chat;
    read.work->maxTokens = static_cast<int>(tokens);
    read.work->priority = static_cast<int>(integerOf(body, "priority").value_or(0));
    read.work->resumable = body.value("resumable", nlohmann::json(false)) == nlohmann::json(true);
    read.stream = body.value("stream", nlohmann::json(false)) == nlohmann::json(true);
    return read;
}

std::string tokenEvent(const generation &from, std::string_view id, int index, std::string_view text)
{
    nlohmann::json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (index + 1 == from.maxTokens) {
        choice["finish_reason"] = "length";
    }
    if (from.chat) {
        choice["delta"] = {{"content", text}};
        if (index == 0) {
            choice["delta"]["role"] = "assistant";
        }
    } else {
        choice["text"] = text;
    }
    const nlohmann::json event = {{"id", id},
                                  {"object", from.chat ? "chat.completion.chunk" : "text_completion"},
                                  {"model", from.model},
                                  {"token", index},
                                  {"choices", nlohmann::json::array({std::move(choice)})}};
    return "data: " + event.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n\n";
}

nlohmann::json wholeAnswer(const generation &from, std::string_view id, std::string_view text)
{
    nlohmann::json choice = {{"index", 0}, {"finish_reason", "length"}};
    if (from.chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    const auto promptTokens = static_cast<int>(from.prompt.size() / bytesPerPromptToken);
    return {{"id", id},
            {"object", from.chat ? "chat.completion" : "text_completion"},
            {"model", from.model},
            {"choices", nlohmann::json::array({std::move(choice)})},
            {"usage",
             {{"prompt_tokens", promptTokens},
              {"completion_tokens", from.maxTokens},
              {"total_tokens", promptTokens + from.maxTokens}}}};
}

} // namespace medlarrack::standins
