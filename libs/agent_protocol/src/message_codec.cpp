#include <medlarrack/agent_protocol/message_codec.hpp>

#include <msgpack.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstring>
#include <tuple>

namespace medlarrack::agent_protocol {

namespace {

/// Limit of a buffered message. A status with all adapters of an engine takes about 1 KB, the releases of 70,000
/// adapters 1 MB.
constexpr std::size_t maxMessageBytes = 8'388'608;

/// Limit of the entries of one list or map; above the 70,000 adapters of the largest planned deployment.
constexpr std::size_t maxEntries = 100'000;
/// Limit of one string.
constexpr std::size_t maxTextBytes = 4'096;
/// Limit of nested arrays and maps: a message holds a list of models, each a list of fields.
constexpr std::size_t maxDepth = 4;
/// Durations are clamped to this; older crash records have expired anyway.
constexpr std::chrono::milliseconds maxDuration{86'400'000};

// fields() ties the members of a message in the order in which they are encoded.

auto fields(auto &value) requires std::same_as<std::remove_const_t<std::remove_reference_t<decltype(value)>>, greeting>
{
    return std::tie(value.protocol, value.name);
}

auto fields(
    auto &value) requires std::same_as<std::remove_const_t<std::remove_reference_t<decltype(value)>>, load_request>
{
    return std::tie(value.adapters);
}

auto fields(
    auto &value) requires std::same_as<std::remove_const_t<std::remove_reference_t<decltype(value)>>, adapters_in_use>
{
    return std::tie(value.adapters, value.succeeded, value.failed, value.pendingPrefillTokens);
}

auto fields(
    auto &value) requires std::same_as<std::remove_const_t<std::remove_reference_t<decltype(value)>>, model_config>
{
    return std::tie(value.name, value.weightsMb, value.adapterMb);
}

auto fields(
    auto &value) requires std::same_as<std::remove_const_t<std::remove_reference_t<decltype(value)>>, service_config>
{
    return std::tie(value.stateVersion, value.service, value.models, value.weightsMb, value.adapterSlots);
}

auto fields(
    auto &value) requires std::same_as<std::remove_const_t<std::remove_reference_t<decltype(value)>>, adapter_releases>
{
    return std::tie(value.versions);
}

/// An engine_load is not nested: its fields are encoded among those of its message.
auto engineLoadFields(auto &load)
{
    return std::tie(load.running, load.queued, load.pendingLoads, load.availableSlots, load.availableMemorySlots,
                    load.failurePercent, load.pendingPrefillTokens, load.storeLoadMs, load.memoryLoadMs,
                    load.loadIntervalMs, load.rememberedAdapters, load.gatewayCount);
}

auto fields(
    auto &value) requires std::same_as<std::remove_const_t<std::remove_reference_t<decltype(value)>>, engine_status>
{
    return std::tuple_cat(
        std::tie(value.engineUp, value.startedAtMs, value.models, value.adapters, value.recentAdapters),
        engineLoadFields(value.load));
}

auto fields(
    auto &value) requires std::same_as<std::remove_const_t<std::remove_reference_t<decltype(value)>>, engine_change>
{
    return std::tuple_cat(std::tie(value.loaded, value.unloaded), engineLoadFields(value.load));
}

auto fields(
    auto &value) requires std::same_as<std::remove_const_t<std::remove_reference_t<decltype(value)>>, crash_report>
{
    return std::tie(value.news.crashes, value.news.acquittals);
}

auto fields(
    auto &value) requires std::same_as<std::remove_const_t<std::remove_reference_t<decltype(value)>>, stream_origins>
{
    return std::tie(value.streams);
}

auto fields(
    auto &value) requires std::same_as<std::remove_const_t<std::remove_reference_t<decltype(value)>>, origin_query>
{
    return std::tie(value.streams);
}

auto fields(
    auto &value) requires std::same_as<std::remove_const_t<std::remove_reference_t<decltype(value)>>, origin_answer>
{
    return std::tie(value.origins);
}

auto fields(
    auto &value) requires std::same_as<std::remove_const_t<std::remove_reference_t<decltype(value)>>, tenant_usage>
{
    return std::tie(value.stateVersion, value.reports);
}

auto fields(
    auto &value) requires std::same_as<std::remove_const_t<std::remove_reference_t<decltype(value)>>, tenant_totals>
{
    return std::tie(value.totals);
}

/// Durations are encoded as whole milliseconds.
using crash_fields = std::tuple<std::uint64_t, std::uint64_t, std::int64_t, std::int64_t, bool>;
using acquittal_fields = std::tuple<std::uint64_t, std::int64_t>;
/// Name, units per second, burst, units admitted, units asked per second.
using report_fields = std::tuple<std::string, double, double, double, double>;
/// Name, level, units asked per second.
using total_fields = std::tuple<std::string, double, double>;

using packer = msgpack::packer<msgpack::sbuffer>;

void packField(packer &out, const auto &value)
{
    out.pack(value);
}

/// Names come from callers, engines and the store. Longer ones than a decoder takes are cut off: they name nothing, and
/// the link would break.
std::string_view boundedText(std::string_view text)
{
    return text.substr(0, maxTextBytes);
}

void packField(packer &out, const std::string &text)
{
    out.pack(boundedText(text));
}

void packField(packer &out, const std::vector<std::string> &texts)
{
    out.pack_array(static_cast<std::uint32_t>(texts.size()));
    for (const std::string &one : texts) {
        out.pack(boundedText(one));
    }
}

template<typename Value>
void packField(packer &out, const std::map<std::string, Value, std::less<>> &values)
{
    out.pack_map(static_cast<std::uint32_t>(values.size()));
    for (const auto &[name, value] : values) {
        out.pack(boundedText(name));
        out.pack(value);
    }
}

void packField(packer &out, const std::vector<model_config> &models)
{
    out.pack_array(static_cast<std::uint32_t>(models.size()));
    for (const model_config &one : models) {
        out.pack(std::tuple(boundedText(one.name), one.weightsMb, one.adapterMb));
    }
}

void packField(packer &out, const std::vector<core::crash_record> &crashes)
{
    out.pack_array(static_cast<std::uint32_t>(crashes.size()));
    for (const core::crash_record &one : crashes) {
        out.pack(crash_fields(one.fingerprint, one.target, one.age.count(), one.ran.count(), one.probe));
    }
}

void packField(packer &out, const std::vector<core::acquittal> &acquittals)
{
    out.pack_array(static_cast<std::uint32_t>(acquittals.size()));
    for (const core::acquittal &one : acquittals) {
        out.pack(acquittal_fields(one.fingerprint, one.age.count()));
    }
}

void packField(packer &out, const std::vector<core::tenant_report> &reports)
{
    out.pack_array(static_cast<std::uint32_t>(reports.size()));
    for (const core::tenant_report &one : reports) {
        out.pack(std::tuple(boundedText(one.tenant), one.limits.perSecond, one.limits.burst, one.admitted,
                            one.askedPerSecond));
    }
}

void packField(packer &out, const std::vector<core::tenant_total> &totals)
{
    out.pack_array(static_cast<std::uint32_t>(totals.size()));
    for (const core::tenant_total &one : totals) {
        out.pack(std::tuple(boundedText(one.tenant), one.level, one.askedPerSecond));
    }
}

void readField(const msgpack::object &from, auto &value)
{
    from.convert(value);
}

void readField(const msgpack::object &from, std::vector<model_config> &models)
{
    const auto items = from.as<std::vector<msgpack::object>>();
    models.resize(items.size());
    for (std::size_t index = 0; index < items.size(); ++index) {
        auto tied = fields(models[index]);
        items[index].convert(tied);
    }
}

/// A duration from a peer; clamped, since one out of range would overflow in later arithmetic.
std::chrono::milliseconds readDuration(std::int64_t milliseconds)
{
    return std::chrono::milliseconds(std::clamp<std::int64_t>(milliseconds, 0, maxDuration.count()));
}

void readField(const msgpack::object &from, std::vector<core::crash_record> &crashes)
{
    for (const auto &[fingerprint, target, age, ran, probe] : from.as<std::vector<crash_fields>>()) {
        crashes.push_back({fingerprint, target, readDuration(age), readDuration(ran), probe});
    }
}

void readField(const msgpack::object &from, std::vector<core::acquittal> &acquittals)
{
    for (const auto &[fingerprint, age] : from.as<std::vector<acquittal_fields>>()) {
        acquittals.push_back({fingerprint, readDuration(age)});
    }
}

/// A number from a peer. One that isn't finite would spoil each sum that it goes into.
double readFinite(double value)
{
    constexpr double largest = 1e15;
    return std::isfinite(value) ? std::clamp(value, -largest, largest) : 0;
}

void readField(const msgpack::object &from, std::vector<core::tenant_report> &reports)
{
    for (const auto &[tenant, perSecond, burst, admitted, asked] : from.as<std::vector<report_fields>>()) {
        reports.push_back({tenant,
                           {std::max(0.0, readFinite(perSecond)), std::max(0.0, readFinite(burst))},
                           readFinite(admitted),
                           readFinite(asked)});
    }
}

void readField(const msgpack::object &from, std::vector<core::tenant_total> &totals)
{
    for (const auto &[tenant, level, asked] : from.as<std::vector<total_fields>>()) {
        totals.push_back({tenant, readFinite(level), readFinite(asked)});
    }
}

template<std::size_t Index = 0>
std::optional<message> readBody(std::size_t index, std::span<const msgpack::object> items)
{
    if constexpr (Index < std::variant_size_v<message>) {
        if (index != Index) {
            return readBody<Index + 1>(index, items);
        }
        std::variant_alternative_t<Index, message> value;
        auto tied = fields(value);
        if (items.size() != std::tuple_size_v<decltype(tied)>) {
            return std::nullopt;
        }
        std::size_t position = 0;
        std::apply(
            [&](auto &...each) {
                (readField(items[position++], each), ...);
            },
            tied);
        return message(std::move(value));
    } else {
        return std::nullopt;
    }
}

std::optional<message> readMessage(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size == 0) {
        return std::nullopt;
    }
    const std::span<const msgpack::object> items(object.via.array.ptr, object.via.array.size);
    return readBody(items.front().as<std::size_t>(), items.subspan(1));
}

} // namespace

std::string encode(const message &value)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    std::visit(
        [&](const auto &body) {
            const auto all = fields(body);
            out.pack_array(static_cast<std::uint32_t>(std::tuple_size_v<std::remove_const_t<decltype(all)>> + 1));
            out.pack(value.index());
            std::apply(
                [&](const auto &...each) {
                    (packField(out, each), ...);
                },
                all);
        },
        value);
    return {buffer.data(), buffer.size()};
}

class message_decoder::impl
{
public:
    // Without limits the library would allocate whatever a length of a few bytes announces, up to 100 GB.
    msgpack::unpacker unpacker{nullptr, nullptr, MSGPACK_UNPACKER_INIT_BUFFER_SIZE,
                               msgpack::unpack_limit(maxEntries, maxEntries, maxTextBytes, 0, 0, maxDepth)};
    bool failed = false;
};

message_decoder::message_decoder()
    : m_impl(std::make_unique<impl>())
{
}

message_decoder::~message_decoder() = default;

void message_decoder::feed(std::string_view bytes)
{
    m_impl->unpacker.reserve_buffer(bytes.size());
    std::memcpy(m_impl->unpacker.buffer(), bytes.data(), bytes.size());
    m_impl->unpacker.buffer_consumed(bytes.size());
}

std::optional<message> message_decoder::next(core::reason &why)
{
    if (m_impl->failed) {
        return std::nullopt;
    }
    // The library reports malformed bytes by exceptions.
    try {
        msgpack::object_handle handle;
        if (!m_impl->unpacker.next(handle)) {
            m_impl->failed = m_impl->unpacker.message_size() > maxMessageBytes;
            if (m_impl->failed) {
                why = {"message_too_long", "a message exceeds 8 MiB"};
            }
            return std::nullopt;
        }
        if (auto read = readMessage(handle.get())) {
            return read;
        }
        why = {"malformed_message", "a message has an unknown type number or a wrong number of fields"};
    } catch (const std::exception &error) {
        why = {"malformed_message", std::string("a message can't be decoded: ") + error.what()};
    }
    m_impl->failed = true;
    return std::nullopt;
}

bool message_decoder::failed() const
{
    return m_impl->failed;
}

} // namespace medlarrack::agent_protocol
