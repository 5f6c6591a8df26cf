#include "object_checks.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace medlarrack::tickets::detail {

namespace {

constexpr std::size_t maxSaltLength = 256;
constexpr std::size_t maxSourceLength = 1024;
constexpr std::size_t maxPathLength = 1024;
constexpr std::size_t hashDigits = 64;
constexpr std::uint32_t maxRequestsInFlight = 1'000'000;
constexpr double maxRequestRate = 1e6;
constexpr double minWeight = 0.001;
constexpr double maxWeight = 1000;
constexpr std::uint32_t maxSlots = 4096;
constexpr std::uint32_t maxBatchSize = 4096;
constexpr double minLoadRate = 0.001;
constexpr double maxLoadRate = 1e6;
constexpr std::uint32_t maxLoads = 1'000'000;

bool isHash(std::string_view text)
{
    return text.size() == hashDigits && std::all_of(text.begin(), text.end(), [](char character) {
               return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
           });
}

bool isMethod(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
        return character >= 'A' && character <= 'Z';
    });
}

bool isCallPath(std::string_view text)
{
    if (text.substr(0, 1) != "/" || text.find('?') != std::string_view::npos) {
        return false;
    }
    const auto star = text.find('*');
    const bool endsWithWildcard = text.size() >= 2 && text.substr(text.size() - 2) == "/*";
    return star == std::string_view::npos || (star == text.size() - 1 && endsWithWildcard);
}

/// Returns an array member, or nullptr when it is missing or has another type; the latter is a fault.
const nlohmann::json *findArray(member_reader &reader, std::string_view key, bool required)
{
    const auto *found = reader.find(key, required);
    if (found != nullptr && !found->is_array()) {
        reader.sink().add(reader.pointerTo(key), "expected an array, found " + describeType(*found));
        return nullptr;
    }
    return found;
}

key_hash parseKey(const nlohmann::json &value, const std::string &pointer, fault_sink &sink)
{
    key_hash key;
    member_reader reader(value, pointer, sink);
    reader.rejectUnknownKeys({"salt", "sha256"});
    reader.readText("salt", maxSaltLength, key.salt);
    reader.readText("sha256", hashDigits, key.sha256);
    if (!key.sha256.empty() && !isHash(key.sha256)) {
        sink.add(reader.pointerTo("sha256"), "expected 64 lowercase hexadecimal digits");
    }
    return key;
}

void parseLimits(const nlohmann::json &value, const std::string &pointer, fault_sink &sink, operator_state &result)
{
    member_reader reader(value, pointer, sink);
    reader.rejectUnknownKeys({"requests_in_flight", "requests_per_s"});
    reader.readInteger("requests_in_flight", 1, maxRequestsInFlight, result.maxInFlight);
    reader.readNumber("requests_per_s", 0, maxRequestRate, result.maxRequestsPerSecond);
}

std::string parseVersion(const nlohmann::json &value, const std::string &pointer, fault_sink &sink)
{
    std::string source;
    member_reader reader(value, pointer, sink);
    reader.rejectUnknownKeys({"source"});
    reader.readText("source", maxSourceLength, source);
    return source;
}

void parseVersions(const nlohmann::json &value, const std::string &pointer, fault_sink &sink, adapter_state &result)
{
    if (!value.is_object() || value.empty()) {
        sink.add(pointer,
                 "expected an object with at least one version, found "
                     + (value.is_object() ? std::string("none") : describeType(value)));
        return;
    }
    for (const auto &member : value.items()) {
        const auto memberPointer = appendPointer(pointer, member.key());
        if (!isName(member.key())) {
            sink.add(memberPointer, "expected a version name of 1 to 128 characters of A-Z a-z 0-9 . _ -");
        }
        result.versions.emplace(member.key(), parseVersion(member.value(), memberPointer, sink));
    }
    result.versions.shrinkToFit();
}

service_call parseCall(const nlohmann::json &value, const std::string &pointer, fault_sink &sink)
{
    service_call call;
    member_reader reader(value, pointer, sink);
    reader.rejectUnknownKeys({"method", "path", "idempotent"});
    reader.readText("method", maxSaltLength, call.method);
    reader.readText("path", maxPathLength, call.path);
    reader.readBool("idempotent", call.idempotent);
    if (!call.method.empty() && !isMethod(call.method)) {
        sink.add(reader.pointerTo("method"), "expected a method in uppercase letters");
    }
    if (!call.path.empty() && !isCallPath(call.path)) {
        sink.add(reader.pointerTo("path"),
                 "expected a path that starts with \"/\", without \"?\", and with \"*\" only "
                 "as its last segment");
    }
    return call;
}

void parseCalls(const nlohmann::json &value, const std::string &pointer, fault_sink &sink, service_state &result)
{
    std::set<std::pair<std::string, std::string>> methodsAndPaths;
    for (std::size_t index = 0; index < value.size(); ++index) {
        auto call = parseCall(value[index], appendPointer(pointer, index), sink);
        if (!methodsAndPaths.emplace(call.method, call.path).second) {
            sink.add(appendPointer(pointer, index), "duplicate method and path in the list");
        }
        result.calls.push_back(std::move(call));
    }
}

void parseNames(const nlohmann::json &value, const std::string &pointer, fault_sink &sink,
                std::vector<std::string> &result)
{
    for (std::size_t index = 0; index < value.size(); ++index) {
        const auto &element = value[index];
        if (!element.is_string() || !isName(element.get_ref<const std::string &>())) {
            sink.add(appendPointer(pointer, index), "expected a name of 1 to 128 characters of A-Z a-z 0-9 . _ -");
            continue;
        }
        result.push_back(element.get<std::string>());
    }
}

} // namespace

bool isAdapterName(std::string_view text)
{
    const auto slash = text.find('/');
    return slash != std::string_view::npos && isName(text.substr(0, slash)) && isName(text.substr(slash + 1));
}

std::shared_ptr<const operator_state> parseOperator(const nlohmann::json &value, const std::string &pointer,
                                                    fault_sink &sink)
{
    auto result = std::make_shared<operator_state>();
    member_reader reader(value, pointer, sink);
    reader.rejectUnknownKeys({"keys", "limits", "weight"});
    if (const auto *keys = findArray(reader, "keys", true)) {
        for (std::size_t index = 0; index < keys->size(); ++index) {
            result->keys.push_back(parseKey((*keys)[index], appendPointer(reader.pointerTo("keys"), index), sink));
        }
    }
    if (const auto *limits = reader.find("limits", false)) {
        parseLimits(*limits, reader.pointerTo("limits"), sink, *result);
    }
    reader.readNumber("weight", minWeight, maxWeight, result->weight);
    return result;
}

std::shared_ptr<const adapter_state> parseAdapter(const nlohmann::json &value, const std::string &pointer,
                                                  fault_sink &sink)
{
    auto result = std::make_shared<adapter_state>();
    member_reader reader(value, pointer, sink);
    reader.rejectUnknownKeys({"base_model", "group", "current", "versions"});
    reader.readName("base_model", result->baseModel);
    reader.readName("group", result->group);
    reader.readName("current", result->current);
    if (const auto *versions = reader.find("versions", true)) {
        parseVersions(*versions, reader.pointerTo("versions"), sink, *result);
    }
    if (!result->current.empty() && !result->versions.contains(result->current)) {
        sink.add(reader.pointerTo("current"), "expected the name of a version of this adapter");
    }
    return result;
}

std::shared_ptr<const service_state> parseService(const nlohmann::json &value, const std::string &pointer,
                                                  fault_sink &sink)
{
    auto result = std::make_shared<service_state>();
    member_reader reader(value, pointer, sink);
    reader.rejectUnknownKeys({"operators", "calls"});
    if (const auto *operators = findArray(reader, "operators", true)) {
        parseNames(*operators, reader.pointerTo("operators"), sink, result->operators);
    }
    if (const auto *calls = findArray(reader, "calls", true)) {
        parseCalls(*calls, reader.pointerTo("calls"), sink, *result);
    }
    return result;
}

std::shared_ptr<const group_state> parseGroup(const nlohmann::json &value, const std::string &pointer, fault_sink &sink)
{
    auto result = std::make_shared<group_state>();
    member_reader reader(value, pointer, sink);
    reader.rejectUnknownKeys(
        {"slots", "batch_size", "stall_weight", "store_loads_per_s", "store_loads_at_once", "store_transit"});
    reader.readInteger("slots", 1, maxSlots, result->slots);
    reader.readInteger("batch_size", 1, maxBatchSize, result->batchSize);
    reader.readNumber("stall_weight", 0, 1, result->stallWeight);
    reader.readNumber("store_loads_per_s", minLoadRate, maxLoadRate, result->storeLoadsPerSecond);
    reader.readInteger("store_loads_at_once", 1, maxLoads, result->storeLoadsAtOnce);
    reader.readInteger("store_transit", 1, maxLoads, result->storeTransit);
    return result;
}

} // namespace medlarrack::tickets::detail
