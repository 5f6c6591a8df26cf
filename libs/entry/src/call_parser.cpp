#include "call_parser.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/core/uuid.hpp>
#include <medlarrack/idempotency/request_key.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace medlarrack::entry {

namespace {

constexpr std::string_view servicesPrefix = "/services/";

bool refuse(error_response &error, int status, std::string code, std::string message)
{
    error = {status, std::move(code), std::move(message), core::outcome::not_run, {}};
    return false;
}

/// Whether the service may normalise a path to another one than is matched against the list of its calls.
bool isAmbiguous(std::string_view path)
{
    constexpr std::array<std::string_view, 5> ambiguousParts = {"//", "/./", "/../", "\\", "%"};
    const bool found = std::any_of(ambiguousParts.begin(), ambiguousParts.end(), [&](std::string_view part) {
        return path.find(part) != std::string_view::npos;
    });
    return found || path.ends_with("/.") || path.ends_with("/..");
}

void copyHeader(const http::request &request, std::string_view name, call &value)
{
    const auto found = http::findHeader(request.headers, name);
    if (found) {
        value.headers.emplace_back(name, *found);
    }
}

} // namespace

call_parser::call_parser(const request_settings &settings, const tickets::state &tickets, const core::clock &clock)
    : m_settings(settings)
    , m_tickets(tickets)
    , m_clock(clock)
{
}

std::optional<call> call_parser::completion(const http::request &request, std::string_view operatorName,
                                            error_response &error) const
{
    call value;
    value.kind = peer::work_kind::completion;
    value.operatorName = operatorName;
    if (!readHeaders(request, value, error)) {
        return std::nullopt;
    }
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        refuse(error, 400, "bad_json", body.is_discarded() ? "the body is not JSON" : "the body is not a JSON object");
        return std::nullopt;
    }
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        refuse(error, 400, "bad_model",
               "the body needs a text \"model\" of the form operator/name or "
               "operator/name@version");
        return std::nullopt;
    }
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean() && !stream->is_null()) {
        refuse(error, 400, "bad_stream", "\"stream\" must be true or false");
        return std::nullopt;
    }
    value.stream = stream != body.end() && stream->is_boolean() && stream->get<bool>();
    if (!resolveAdapter(model->get_ref<const std::string &>(), value, error)) {
        return std::nullopt;
    }
    value.idempotent = value.idempotencyKey.empty();
    value.method = request.method;
    value.path = request.path();
    value.body = request.body;
    value.adapterHash = core::hash64(value.adapter.toString());
    value.fingerprint = core::hash64({value.operatorName, value.adapter.toString(), value.body});
    return value;
}

std::optional<call> call_parser::serviceCall(const http::request &request, std::string_view operatorName,
                                             error_response &error) const
{
    call value;
    value.kind = peer::work_kind::service_call;
    value.operatorName = operatorName;
    const std::string_view rest = request.path().substr(servicesPrefix.size());
    const auto slash = rest.find('/');
    value.service = rest.substr(0, slash);
    const std::string_view path = slash == std::string_view::npos ? "/" : rest.substr(slash);
    const auto service = m_tickets.findService(value.service);
    if (!service) {
        refuse(error, 404, "unknown_service", "no service of this name");
        return std::nullopt;
    }
    if (!service->allows(operatorName)) {
        refuse(error, 403, "service_not_allowed", "this operator may not call the service");
        return std::nullopt;
    }
    if (!readHeaders(request, value, error)) {
        return std::nullopt;
    }
    // An ambiguous path can't be matched reliably to one of the listed calls.
    value.idempotent = !isAmbiguous(path) && service->isIdempotent(request.method, path);
    if (value.idempotent) {
        copyHeader(request, "Idempotency-Key", value);
        value.idempotencyKey.clear();
    }
    value.keyHash = value.idempotencyKey.empty() ? 0 : core::hash64(value.idempotencyKey);
    value.group = value.service;
    value.method = request.method;
    value.path = std::string(path) + request.target.substr(request.path().size());
    value.body = request.body;
    copyHeader(request, "Content-Type", value);
    value.fingerprint = core::hash64({value.operatorName, value.service, value.method, value.path, value.body});
    return value;
}

bool call_parser::readHeaders(const http::request &request, call &value, error_response &error) const
{
    value.requestId = core::makeUuid7(m_clock.wallNow());
    value.acceptedAt = m_clock.now();
    if (const auto priority = http::findHeader(request.headers, "X-Priority")) {
        const auto known = core::requestClassFromString(*priority);
        if (!known) {
            return refuse(error, 400, "bad_priority", "X-Priority must be control, interactive or bulk");
        }
        value.priority = *known;
    }
    if (const auto key = http::findHeader(request.headers, "Idempotency-Key")) {
        if (!idempotency::parseKey(*key)) {
            return refuse(error, 400, "bad_idempotency_key",
                          "Idempotency-Key must be 1 to 256 printable ASCII characters without spaces");
        }
        value.idempotencyKey = *key;
    }
    return readDeadline(request, value, error);
}

bool call_parser::readDeadline(const http::request &request, call &value, error_response &error) const
{
    auto timeout = m_settings.defaultDeadline;
    if (const auto text = http::findHeader(request.headers, "X-Deadline-Ms")) {
        std::int64_t number = 0;
        const auto *const end = text->data() + text->size();
        const auto result = std::from_chars(text->data(), end, number);
        const bool parsed = result.ec == std::errc() && result.ptr == end;
        if (!parsed || number < 1 || number > m_settings.maxDeadline.count()) {
            return refuse(error, 400, "bad_deadline",
                          "X-Deadline-Ms must be a whole number from 1 to "
                              + std::to_string(m_settings.maxDeadline.count()));
        }
        timeout = std::chrono::milliseconds(number);
    }
    value.deadline = value.acceptedAt + timeout;
    return true;
}

bool call_parser::resolveAdapter(std::string_view model, call &value, error_response &error) const
{
    const auto versionMark = model.find('@');
    const std::string_view name = model.substr(0, versionMark);
    const auto slash = name.find('/');
    if (slash == std::string_view::npos || name.substr(0, slash).empty() || name.substr(slash + 1).empty()) {
        return refuse(error, 404, "unknown_adapter",
                      "the model must be of the form operator/name or "
                      "operator/name@version");
    }
    if (name.substr(0, slash) != value.operatorName) {
        return refuse(error, 403, "adapter_not_allowed", "the adapter belongs to another operator than the key");
    }
    const auto adapter = m_tickets.findAdapter(name);
    if (!adapter) {
        return refuse(error, 404, "unknown_adapter", "no adapter of this name");
    }
    const std::string version =
        versionMark == std::string_view::npos ? adapter->current : std::string(model.substr(versionMark + 1));
    if (!adapter->versions.contains(version)) {
        return refuse(error, 404, "unknown_version", "the adapter has no such version");
    }
    value.adapter = {std::string(name), version};
    value.baseModel = adapter->baseModel;
    value.group = adapter->group;
    return true;
}

} // namespace medlarrack::entry
