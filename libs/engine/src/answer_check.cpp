#include "answer_check.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::engine::detail {
namespace {

constexpr std::string_view endMark = "[DONE]";

std::string textMember(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/// Whether a choice says why it finished.
bool statesFinish(const nlohmann::json &object)
{
    const auto choices = object.find("choices");
    if (choices == object.end() || !choices->is_array()) {
        return false;
    }
    return std::any_of(choices->begin(), choices->end(), [](const nlohmann::json &choice) {
        return choice.is_object() && !textMember(choice, "finish_reason").empty();
    });
}

} // namespace

answer_check::answer_check(std::string requestId, std::string model, bool stream, std::size_t maxBytes)
    : m_requestId(std::move(requestId))
    , m_model(std::move(model))
    , m_stream(stream)
    , m_maxBytes(maxBytes)
{
}

bool answer_check::feed(std::string_view bytes, std::string &passed, core::reason &why)
{
    if (!m_stream) {
        m_whole.append(bytes);
        if (m_whole.size() > m_maxBytes) {
            why = {"answer_too_large", "the engine's answer is larger than allowed"};
            return false;
        }
        return true;
    }
    if (!m_events.feed(bytes, m_maxBytes)) {
        why = {"answer_too_large", "an event of the engine's stream is larger than allowed"};
        return false;
    }
    while (const auto event = m_events.next()) {
        if (!checkEvent(*event, why)) {
            return false;
        }
        passed.append(*event);
    }
    return true;
}

bool answer_check::finish(std::string &passed, core::reason &why)
{
    if (!m_stream) {
        if (!checkObject(m_whole, why)) {
            return false;
        }
        if (!m_finished) {
            why = {"unfinished_answer", "the engine's answer doesn't say why it finished"};
            return false;
        }
        passed.append(m_whole);
        return true;
    }
    if (!m_ended || m_events.hasRest()) {
        why = {"missing_end_mark", "the engine's stream ended without its end mark"};
        return false;
    }
    if (!m_finished) {
        why = {"unfinished_answer", "the engine's stream doesn't say why it finished"};
        return false;
    }
    return true;
}

bool answer_check::checkEvent(std::string_view event, core::reason &why)
{
    const std::string data = eventData(event);
    if (data.empty()) {
        return true;
    }
    if (m_ended) {
        why = {"broken_answer", "the engine's stream went on after its end mark"};
        return false;
    }
    if (data == endMark) {
        m_ended = true;
        return true;
    }
    return checkObject(data, why);
}

bool answer_check::checkObject(std::string_view text, core::reason &why)
{
    const auto object = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
    if (!object.is_object()) {
        why = {"broken_answer", "the engine's answer is no JSON object"};
        return false;
    }
    if (object.contains("error")) {
        why = {"engine_error", "the engine reported an error within its answer"};
        return false;
    }
    if (textMember(object, "model") != m_model) {
        why = {"wrong_model", "the engine answered with a model that was not asked for"};
        return false;
    }
    if (!answersRequest(textMember(object, "id"))) {
        why = {"crossed_answer", "the engine answered another request"};
        return false;
    }
    const auto token = object.find("token");
    if (token != object.end() && token->is_number_integer() && token->get<std::int64_t>() != m_nextToken++) {
        why = {"broken_answer", "the engine's stream skips or repeats a token"};
        return false;
    }
    m_finished = m_finished || statesFinish(object);
    return true;
}

bool answer_check::answersRequest(std::string_view id) const
{
    for (std::string_view prefix : {"", "cmpl-", "chatcmpl-"}) {
        if (id.starts_with(prefix) && id.substr(prefix.size()) == m_requestId) {
            return true;
        }
    }
    return false;
}

} // namespace medlarrack::engine::detail
