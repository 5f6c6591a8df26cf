#include <medlarrack/settings/typed_settings.hpp>
#include <medlarrack/sidecar/sidecar_settings.hpp>

#include <nlohmann/json.hpp>

#include <limits>
#include <string_view>

namespace medlarrack::sidecar {
namespace {

using namespace std::chrono_literals;
using settings::object_reader;

constexpr std::int64_t maxBytes = std::int64_t{1} << 30U;
constexpr std::int64_t maxCount = 1'000'000;

void readListen(object_reader &reader, listen_settings &value)
{
    reader.text("address", value.address);
    reader.integer("port", value.port, 0, std::numeric_limits<std::uint16_t>::max());
    reader.integer("max_connections", value.maxConnections, 1, maxCount);
}

void readPeers(object_reader &reader, peer_settings &value)
{
    readListen(reader, value);
    reader.integer("max_held_bytes", value.maxHeldBytes, 0, maxBytes);
    reader.duration("request_timeout_ms", value.requestTimeout, 1s, 1h);
}

void readInstance(object_reader &reader, sidecar_settings &value)
{
    reader.text("id", value.instanceId);
    reader.require("id");
    reader.text("data_centre", value.dataCentre);
    reader.require("data_centre");
    reader.text("group", value.group);
    reader.require("group");
}

void readTarget(object_reader &reader, target_settings &value)
{
    reader.word("kind", value.kind, {"engine", "service"});
    reader.require("kind");
    reader.rootUrl("url", value.url);
    reader.duration("poll_interval_ms", value.pollInterval, 10ms, 1min);
    reader.duration("crash_check_ms", value.crashCheck, 10ms, 1min);
    reader.integer("concurrency", value.concurrency, 0, 10'000);
    reader.integer("slots", value.slots, 0, 10'000);
    if (value.kind == "service" && value.slots != 0) {
        reader.addFault("slots", "a service has no adapter slots");
    }
}

void readRequests(object_reader &reader, request_limits &value)
{
    reader.integer("max_queued", value.maxQueued, 1, maxCount);
    reader.integer("max_queued_per_operator", value.maxQueuedPerOperator, 1, maxCount);
    reader.integer("max_queued_bytes", value.maxQueuedBytes, 1, maxBytes);
    reader.integer("max_body_bytes", value.maxBodyBytes, 1, maxBytes);
    reader.integer("max_buffered_bytes", value.maxBufferedBytes, 1, maxBytes);
    if (value.maxBodyBytes > value.maxQueuedBytes) {
        reader.addFault("max_body_bytes", "is larger than max_queued_bytes");
    }
}

void readAdapters(object_reader &reader, adapter_settings &value)
{
    reader.duration("longest_slot_wait_ms", value.longestSlotWait, 0ms, 1h);
    reader.duration("first_backoff_ms", value.firstBackoff, 1ms, 1h);
    reader.duration("longest_backoff_ms", value.longestBackoff, 1ms, 1h);
    reader.duration("longest_backoff_wait_ms", value.longestBackoffWait, 0ms, 1h);
    reader.number("loads_per_s", value.loadsPerSecond, 0.001, 10'000);
    reader.integer("loads_at_once", value.loadsAtOnce, 1, 1'000);
    if (value.firstBackoff > value.longestBackoff) {
        reader.addFault("first_backoff_ms", "is longer than longest_backoff_ms");
    }
}

void readRoot(object_reader &reader, sidecar_settings &value)
{
    reader.object("instance", [&](object_reader &part) {
        readInstance(part, value);
    });
    reader.require("instance");
    reader.object("log", [&](object_reader &part) {
        part.word("level", value.logLevel, {"debug", "info", "warning", "error"});
    });
    reader.integer("workers", value.workers, 1, 256);
    reader.object("metrics", [&](object_reader &part) {
        part.integer("max_operators", value.maxMetricOperators, 0, 100'000);
    });
    reader.object("peers", [&](object_reader &part) {
        readPeers(part, value.peers);
    });
    reader.object("admin", [&](object_reader &part) {
        readListen(part, value.admin);
    });
    reader.object("target", [&](object_reader &part) {
        readTarget(part, value.target);
    });
    reader.require("target");
    reader.object("platform", [&](object_reader &part) {
        part.rootUrl("url", value.platformUrl);
    });
    reader.require("platform");
    reader.object("requests", [&](object_reader &part) {
        readRequests(part, value.requests);
    });
    reader.object("adapters", [&](object_reader &part) {
        readAdapters(part, value.adapters);
    });
    reader.object("drain", [&](object_reader &part) {
        part.duration("grace_ms", value.drain.grace, 0ms, 1h);
        part.duration("max_wait_ms", value.drain.maxWait, 0ms, 24h);
    });
    reader.object("pauses", [&](object_reader &part) {
        part.duration("shortest_ms", value.shortestPause, 200ms, 1min);
    });
    reader.object("trace", [&](object_reader &part) {
        part.integer("max_requests", value.traceRequests, 1, maxCount);
    });
}

} // namespace

std::optional<sidecar_settings> parseSettings(const nlohmann::json &root, settings::fault_list &faults)
{
    return settings::readSettings<sidecar_settings>(root, faults, readRoot);
}

std::optional<sidecar_settings> loadSettings(const std::string &path, settings::fault_list &faults)
{
    return settings::loadSettings<sidecar_settings>(path, faults, readRoot);
}

} // namespace medlarrack::sidecar
