#include "answer_verifier.hpp"

#include <medlarrack/core/hash.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace medlarrack::load {

namespace {

using nlohmann::json;

constexpr std::string_view eventPrefix = "data:";
constexpr std::string_view endMark = "[DONE]";
constexpr std::string_view lengthFinish = "length";

/// The text collected from an answer.
struct collected
{
    std::string text;
    std::string finishReason;
    bool ended = false;
    bool malformed = false;
};

std::string hexDigits(std::uint64_t value, int width)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%0*llx", width, static_cast<unsigned long long>(value));
    return text.data();
}

std::string textOf(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// "message" holds a chat answer's text, "delta" a piece of it; completions hold it directly.
std::string choiceText(const json &choice)
{
    for (const char *holder : {"message", "delta"}) {
        const auto found = choice.find(holder);
        if (found != choice.end() && found->is_object()) {
            return textOf(*found, "content");
        }
    }
    return textOf(choice, "text");
}

void collectChoice(std::string_view text, collected &into)
{
    const json parsed = json::parse(text, nullptr, false);
    const auto choices = parsed.is_object() ? parsed.find("choices") : parsed.end();
    if (!parsed.is_object() || choices == parsed.end() || !choices->is_array()) {
        into.malformed = true;
        return;
    }
    // An event may carry usage figures and no choice.
    if (choices->empty()) {
        return;
    }
    const json &choice = choices->front();
    if (!choice.is_object()) {
        into.malformed = true;
        return;
    }
    into.text += choiceText(choice);
    if (const auto finish = textOf(choice, "finish_reason"); !finish.empty()) {
        into.finishReason = finish;
    }
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \r\n\t";
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

void collectEvents(std::string_view body, collected &into)
{
    while (!body.empty()) {
        const std::size_t length = std::min(body.find('\n'), body.size());
        const std::string_view line = trimmed(body.substr(0, length));
        body.remove_prefix(std::min(length + 1, body.size()));
        if (!line.starts_with(eventPrefix)) {
            continue;
        }
        const std::string_view data = trimmed(line.substr(eventPrefix.size()));
        if (into.ended) {
            into.malformed = true;
        } else if (data == endMark) {
            into.ended = true;
        } else {
            collectChoice(data, into);
        }
    }
}

// The adapter without its version.
std::string_view adapterOf(std::string_view model)
{
    return model.substr(0, model.find('@'));
}

bool namesVersion(std::string_view model)
{
    return model.find('@') != std::string_view::npos;
}

bool isRightAdapter(const planned_request &request, std::string_view ranAs)
{
    if (ranAs.empty()) {
        return true;
    }
    return namesVersion(request.model) ? ranAs == request.model : adapterOf(ranAs) == request.model;
}

} // namespace

std::string_view toString(verdict value)
{
    switch (value) {
    case verdict::right:
        return "right";
    case verdict::wrong_answer:
        return "wrong_answer";
    case verdict::wrong_adapter:
        return "wrong_adapter";
    case verdict::truncated:
        return "truncated";
    case verdict::malformed:
        break;
    }
    return "malformed";
}

std::string expectedText(std::string_view model, std::string_view prompt, std::size_t tokens)
{
    constexpr std::uint64_t lowBits = 0xffffffffU;
    const std::uint64_t seed = core::hash64({model, prompt});
    std::string text;
    for (std::size_t index = 0; index < tokens; ++index) {
        text += " " + hexDigits(core::hash64(std::to_string(index), seed) & lowBits, 8);
    }
    return text;
}

verdict verifyCompletion(const planned_request &request, std::string_view ranAs, std::string_view body)
{
    if (!isRightAdapter(request, ranAs)) {
        return verdict::wrong_adapter;
    }
    collected answer;
    if (request.stream) {
        collectEvents(body, answer);
    } else {
        collectChoice(body, answer);
        answer.ended = true;
    }
    if (answer.malformed) {
        return verdict::malformed;
    }
    const std::string expected = expectedText(ranAs.empty() ? request.model : ranAs, request.prompt, request.maxTokens);
    if (answer.ended && answer.text == expected && answer.finishReason == lengthFinish) {
        return verdict::right;
    }
    return expected.starts_with(answer.text) ? verdict::truncated : verdict::wrong_answer;
}

verdict verifyServiceCall(const planned_request &request, std::string_view key, std::string_view body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("body_hash")) {
        return verdict::malformed;
    }
    const bool own = textOf(parsed, "body_hash") == hexDigits(core::hash64(request.body), 16)
        && textOf(parsed, "method") == request.method && (key.empty() || textOf(parsed, "key") == key);
    return own ? verdict::right : verdict::wrong_answer;
}

std::optional<core::outcome> errorOutcome(std::string_view body, std::string &code)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("error") || !parsed["error"].is_object()) {
        return std::nullopt;
    }
    code = textOf(parsed["error"], "code");
    return core::outcomeFromString(textOf(parsed["error"], "outcome"));
}

} // namespace medlarrack::load
