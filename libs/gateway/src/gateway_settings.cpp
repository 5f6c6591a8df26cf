#include <medlarrack/gateway/gateway_settings.hpp>
#include <medlarrack/http1/call_client.hpp>
#include <medlarrack/http1/peer_connections.hpp>
#include <medlarrack/settings/typed_settings.hpp>

#include <algorithm>

namespace medlarrack::gateway {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t highestPort = 65'535;
constexpr std::int64_t largestKb = 1'048'576;
constexpr std::int64_t leastMemoryMb = 32;
constexpr std::int64_t largestMemoryMb = 1'048'576;
constexpr double mostCores = 1'024;
constexpr double fastestLinkMbps = 1'000'000;
constexpr std::size_t bytesPerMb = 1'048'576;
/// The rest is for tables, buffers of connections and copies in progress.
constexpr std::size_t heldShareDivisor = 4;
constexpr std::int64_t largestConnections = 1'048'576;
constexpr milliseconds shortestChangeBound{100};
constexpr milliseconds longestChangeBound{60'000};
constexpr double shortestGraceSeconds = 0.5;
constexpr double longestGraceSeconds = 600;
constexpr std::chrono::seconds shortestRetryWindow{1};
constexpr std::chrono::seconds longestRetryWindow{3'600};
/// Share of the allowed retries that is used. The rest is a margin: gateways count a request up to half a second apart
/// from the replica that receives it.
constexpr double usedShareOfRetries = 0.9;
/// Retries per window that a gateway may make on top of the ratio, so that one with few requests can retry at all.
constexpr std::uint32_t extraRetriesPerWindow = 1;

void readEndpoint(settings::object_reader &reader, std::string_view key, std::string &value)
{
    reader.require(key);
    reader.text(key, value);
    if (!value.empty() && !http1::parseEndpoint(value)) {
        reader.addFault(key, "'" + value + "' is no IPv4 address with a port");
    }
}

void read(settings::object_reader &reader, gateway_settings &value)
{
    reader.require("name");
    reader.text("name", value.name);
    reader.require("data_centre");
    reader.text("data_centre", value.dataCentre);
    readEndpoint(reader, "callers", value.callers);
    readEndpoint(reader, "admin", value.admin);
    readEndpoint(reader, "store", value.store);
    reader.require("agent_port");
    reader.integer("agent_port", value.agentPort, 1, highestPort);
    reader.duration("change_bound_ms", value.changeBound, shortestChangeBound, longestChangeBound);
    value.keyPolicy.outdatedAfter = value.changeBound;
    reader.flag("queue_requests", value.queueRequests);
    reader.flag("fail_closed", value.keyPolicy.failClosed);
    reader.duration("revoke_bound_ms", value.keyPolicy.revokeBound, shortestChangeBound, longestChangeBound);
    double graceSeconds = std::chrono::duration<double>(value.gracePeriod).count();
    reader.number("grace_period_s", graceSeconds, shortestGraceSeconds, longestGraceSeconds);
    value.gracePeriod = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(graceSeconds));
    reader.number("retry_ratio", value.retryRatio, 0, 1);
    std::int64_t retryWindow = value.retryWindow.count();
    reader.integer("retry_window_s", retryWindow, shortestRetryWindow.count(), longestRetryWindow.count());
    value.retryWindow = std::chrono::seconds(retryWindow);
    reader.integer("max_response_kb", value.responseBounds.maxBodyKb, 1, largestKb);
    reader.integer("max_event_kb", value.responseBounds.maxEventKb, 1, largestKb);
    reader.integer("max_stream_kb", value.responseBounds.maxStreamKb, 1, largestKb);
    reader.integer("memory_limit_mb", value.memoryLimitMb, leastMemoryMb, largestMemoryMb);
    reader.number("cpu_share", value.cpuShare, 0, mostCores);
    reader.number("link_mbps", value.linkMbps, 0, fastestLinkMbps);
    if (kilobytes(value.responseBounds.maxBodyKb) > maxHeldBytes(value) / 2) {
        reader.addFault("max_response_kb", "is more than an eighth of memory_limit_mb");
    }
    reader.integer("max_connections", value.maxConnections, 0, largestConnections);
    reader.integer("max_store_answer_kb", value.maxStoreAnswerKb, 1, largestKb);
    reader.word("log_level", value.logLevel, {"debug", "info", "warning", "error"});
}

} // namespace

std::size_t maxHeldBytes(const gateway_settings &settings)
{
    return settings.memoryLimitMb * bytesPerMb / heldShareDivisor;
}

own_limits ownLimits(const gateway_settings &settings)
{
    const auto known = [](double value) {
        return value > 0 ? std::optional(value) : std::nullopt;
    };
    return {known(settings.cpuShare), known(settings.linkMbps), settings.memoryLimitMb * bytesPerMb};
}

std::size_t maxCallerConnections(const gateway_settings &settings)
{
    const std::size_t most = http1::maxPeerConnections();
    return settings.maxConnections == 0 ? most : std::min<std::size_t>(settings.maxConnections, most);
}

overload::retry_budget makeRetryBudget(const gateway_settings &settings)
{
    return {settings.retryRatio * usedShareOfRetries, extraRetriesPerWindow, settings.retryWindow};
}

std::optional<gateway_settings> parseSettings(const nlohmann::json &root, settings::fault_list &faults)
{
    return settings::readSettings<gateway_settings>(root, faults, read);
}

std::optional<gateway_settings> loadSettings(const std::string &path, settings::fault_list &faults)
{
    return settings::loadSettings<gateway_settings>(path, faults, read);
}

} // namespace medlarrack::gateway
