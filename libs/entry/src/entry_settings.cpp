#include <medlarrack/entry/entry_settings.hpp>
#include <medlarrack/settings/typed_settings.hpp>

#include <nlohmann/json.hpp>

#include <limits>

namespace medlarrack::entry {

namespace {

using namespace std::chrono_literals;
using settings::object_reader;

constexpr std::int64_t maxBytes = std::int64_t{1} << 30;
constexpr std::int64_t maxHeldBytes = std::int64_t{1} << 40;

void readListen(object_reader &reader, listen_settings &value)
{
    reader.text("address", value.address);
    reader.integer("port", value.port, 0, std::numeric_limits<std::uint16_t>::max());
    reader.integer("max_body_bytes", value.maxBodyBytes, 1, maxBytes);
    reader.integer("max_header_bytes", value.maxHeaderBytes, 256, 1 << 20);
    reader.integer("max_connections", value.maxConnections, 1, 1'000'000);
    reader.duration("read_timeout_ms", value.readTimeout, 1ms, 1h);
    reader.duration("write_timeout_ms", value.writeTimeout, 1ms, 1h);
    reader.integer("max_buffered_bytes", value.maxBufferedBytes, 1, maxBytes);
}

void readCallers(object_reader &reader, listen_settings &value)
{
    readListen(reader, value);
    reader.integer("max_held_bytes", value.maxHeldBytes, 0, maxHeldBytes);
    if (value.maxHeldBytes != 0 && value.maxHeldBytes < value.maxBodyBytes) {
        reader.addFault("max_held_bytes", "is less than max_body_bytes");
    }
}

void readRequests(object_reader &reader, request_settings &value)
{
    reader.duration("default_deadline_ms", value.defaultDeadline, 1ms, 24h);
    reader.duration("max_deadline_ms", value.maxDeadline, 1ms, 24h);
    reader.integer("max_answer_bytes", value.maxResponseBytes, 1, maxBytes);
    reader.integer("max_in_flight", value.maxInFlight, 1, 1'000'000);
    if (value.defaultDeadline > value.maxDeadline) {
        reader.addFault("default_deadline_ms", "is longer than max_deadline_ms");
    }
}

void readRetries(object_reader &reader, retry_settings &value)
{
    reader.integer("max_attempts", value.maxAttempts, 1, 100);
    reader.duration("accept_timeout_ms", value.acceptTimeout, 1ms, 1h);
    reader.duration("keyed_accept_timeout_ms", value.keyedAcceptTimeout, 1ms, 1h);
    reader.duration("backoff_ms", value.backoff, 0ms, 1min);
    reader.duration("max_backoff_ms", value.maxBackoff, 0ms, 1min);
    reader.number("budget_ratio", value.budgetRatio, 0, 10);
    reader.number("budget_burst", value.budgetBurst, 0, 1'000'000);
    reader.duration("target_wait_ms", value.targetWait, 0ms, 1h);
    if (value.backoff > value.maxBackoff) {
        reader.addFault("backoff_ms", "is longer than max_backoff_ms");
    }
}

void readRouting(object_reader &reader, routing_settings &value)
{
    reader.number("bound_factor", value.boundFactor, 1, 100);
    reader.number("copy_fill", value.copyFill, 0.01, 100);
    reader.duration("failure_backoff_ms", value.failureBackoff, 1ms, 1h);
    reader.duration("max_failure_backoff_ms", value.maxFailureBackoff, 1ms, 1h);
    reader.duration("slow_start_ms", value.slowStart, 0ms, 1h);
    reader.integer("max_load_watches", value.maxLoadWatches, 0, 100'000);
    reader.integer("max_peer_connections", value.maxPeerConnections, 1, 100'000);
    if (value.failureBackoff > value.maxFailureBackoff) {
        reader.addFault("failure_backoff_ms", "is longer than max_failure_backoff_ms");
    }
    if (value.maxLoadWatches > value.maxPeerConnections) {
        reader.addFault("max_load_watches", "is larger than max_peer_connections");
    }
}

void readSuspects(object_reader &reader, suspect_settings &value)
{
    reader.integer("crashes_to_refuse", value.crashesToRefuse, 1, 100);
    reader.duration("fade_after_ms", value.fadeAfter, 1ms, 24h);
    reader.integer("max_fingerprints", value.maxFingerprints, 1, 1'000'000);
}

void readPlatform(object_reader &reader, platform_settings &value)
{
    reader.rootUrl("url", value.url);
    reader.objects("seeds", [&](object_reader &part) {
        seed_settings &seed = value.seeds.emplace_back();
        part.text("id", seed.id);
        part.require("id");
        part.text("address", seed.address);
        part.require("address");
        part.integer("port", seed.port, 1, std::numeric_limits<std::uint16_t>::max());
        part.require("port");
    });
}

void readRoot(object_reader &reader, entry_settings &value)
{
    reader.object("instance", [&](object_reader &part) {
        part.text("id", value.instanceId);
        part.require("id");
        part.text("data_centre", value.dataCentre);
        part.require("data_centre");
    });
    reader.require("instance");
    reader.object("log", [&](object_reader &part) {
        part.word("level", value.logLevel, {"debug", "info", "warning", "error"});
    });
    reader.integer("workers", value.workers, 1, 256);
    reader.object("metrics", [&](object_reader &part) {
        part.integer("max_operators", value.maxMetricOperators, 0, 100'000);
    });
    reader.object("platform", [&](object_reader &part) {
        readPlatform(part, value.platform);
    });
    reader.require("platform");
    reader.object("callers", [&](object_reader &part) {
        readCallers(part, value.callers);
    });
    reader.object("admin", [&](object_reader &part) {
        readListen(part, value.admin.emplace());
    });
    reader.object("requests", [&](object_reader &part) {
        readRequests(part, value.requests);
    });
    reader.object("retries", [&](object_reader &part) {
        readRetries(part, value.retries);
    });
    reader.object("routing", [&](object_reader &part) {
        readRouting(part, value.routing);
    });
    reader.object("suspects", [&](object_reader &part) {
        readSuspects(part, value.suspects);
    });
    reader.object("drain", [&](object_reader &part) {
        part.duration("grace_ms", value.drain.grace, 0ms, 1h);
        part.duration("max_wait_ms", value.drain.maxWait, 0ms, 24h);
    });
    reader.object("trace", [&](object_reader &part) {
        part.integer("max_requests", value.trace.maxRequests, 1, 1'000'000);
        part.integer("max_changes", value.trace.maxChanges, 1, 1'000'000);
    });
}

} // namespace

std::optional<entry_settings> parseSettings(const nlohmann::json &root, settings::fault_list &faults)
{
    return settings::readSettings<entry_settings>(root, faults, readRoot);
}

std::optional<entry_settings> loadSettings(const std::string &path, settings::fault_list &faults)
{
    return settings::loadSettings<entry_settings>(path, faults, readRoot);
}

} // namespace medlarrack::entry
