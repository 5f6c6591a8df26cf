#include "engine_protocol.hpp"

#include <nlohmann/json.hpp>

namespace medlarrack::engine::detail {
namespace {

/// Priorities of the engine: smaller runs earlier.
int enginePriority(core::request_class priority)
{
    return static_cast<int>(priority);
}

nlohmann::json parse(std::string_view text)
{
    return nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
}

template<typename T>
void readUnsigned(const nlohmann::json &object, const char *key, T &value)
{
    const auto found = object.find(key);
    if (found != object.end() && found->is_number_unsigned()) {
        value = found->get<T>();
    }
}

} // namespace

std::optional<std::string> completionBody(const target_call &call)
{
    auto body = parse(call.body);
    if (!body.is_object()) {
        return std::nullopt;
    }
    body["model"] = call.model;
    body["priority"] = enginePriority(call.priority);
    body["stream"] = call.stream;
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string loadBody(const core::adapter_ref &adapter, const std::string &source, std::uint64_t fence)
{
    return nlohmann::json{{"lora_name", adapter.toString()}, {"lora_path", source}, {"fence", fence}}.dump();
}

std::string unloadBody(const core::adapter_ref &adapter, std::uint64_t fence)
{
    return nlohmann::json{{"lora_name", adapter.toString()}, {"fence", fence}}.dump();
}

std::string cancelBody(const std::string &requestId)
{
    return nlohmann::json{{"request_id", requestId}}.dump();
}

std::string errorCode(std::string_view body)
{
    const auto object = parse(body);
    if (!object.is_object()) {
        return {};
    }
    const auto error = object.find("error");
    if (error == object.end()) {
        return {};
    }
    if (error->is_string()) {
        return error->get<std::string>();
    }
    if (error->is_object() && error->contains("code") && error->at("code").is_string()) {
        return error->at("code").get<std::string>();
    }
    return {};
}

order_end orderEnd(int status, std::string_view body)
{
    switch (status) {
    case 200:
        return order_end::done;
    case 404:
        return order_end::not_loaded;
    case 409:
        return errorCode(body) == "in_use" ? order_end::in_use : order_end::old_fence;
    case 502:
        return order_end::failed;
    case 503:
        return order_end::store_busy;
    case 507:
        return order_end::no_slot;
    default:
        // Client errors are refusals; anything else leaves open what was done.
        return status >= 400 && status < 500 ? order_end::failed : order_end::unknown;
    }
}

bool isDeclined(int status, std::string_view body)
{
    const std::string code = errorCode(body);
    return (status == 404 && code == "unknown_model") || (status == 503 && code == "overloaded");
}

std::optional<target_load> parseLoad(std::string_view body)
{
    const auto object = parse(body);
    if (!object.is_object() || !object.contains("started_ms")) {
        return std::nullopt;
    }
    target_load load;
    readUnsigned(object, "started_ms", load.startedMs);
    readUnsigned(object, "sequence", load.sequence);
    readUnsigned(object, "running", load.running);
    readUnsigned(object, "waiting", load.waiting);
    readUnsigned(object, "batch_size", load.batchSize);
    readUnsigned(object, "slots", load.slots);
    readUnsigned(object, "steps", load.steps);
    readUnsigned(object, "filled", load.filled);
    readUnsigned(object, "tokens", load.tokens);
    const auto adapters = object.find("adapters");
    if (adapters != object.end() && adapters->is_array()) {
        for (const auto &name : *adapters) {
            if (!name.is_string()) {
                continue;
            }
            if (auto adapter = parseAdapter(name.get_ref<const std::string &>())) {
                load.adapters.push_back(std::move(*adapter));
            }
        }
    }
    return load;
}

std::optional<core::adapter_ref> parseAdapter(std::string_view text)
{
    const std::size_t at = text.rfind('@');
    if (at == std::string_view::npos || at == 0 || at + 1 == text.size()) {
        return std::nullopt;
    }
    return core::adapter_ref{std::string(text.substr(0, at)), std::string(text.substr(at + 1))};
}

} // namespace medlarrack::engine::detail
