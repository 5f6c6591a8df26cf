#pragma once

#include <medlarrack/settings/fault.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarrack::entry {

/// Address and limits of an HTTP server.
struct listen_settings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t maxBodyBytes = 1U << 20U;
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxConnections = 4096;
    std::chrono::milliseconds readTimeout{10'000};
    std::chrono::milliseconds writeTimeout{10'000};
    std::size_t maxBufferedBytes = 4U << 20U;
    /// Bytes held for all callers and readers of pages; 0 for 16 times the longer of the body and the buffer above.
    std::size_t maxHeldBytes = 0;
};

/// Limits for requests.
struct request_settings
{
    /// Deadline of a request whose caller specifies none, and the longest that a caller may specify.
    std::chrono::milliseconds defaultDeadline{30'000};
    std::chrono::milliseconds maxDeadline{600'000};
    /// Maximum size of a response that isn't streamed, which is buffered completely.
    std::size_t maxResponseBytes = 16U << 20U;
    /// Maximum number of requests in flight at this entry. Bulk requests may fill 80% of it, interactive ones 95%.
    std::size_t maxInFlight = 4096;
};

/// Retries of requests.
struct retry_settings
{
    /// Maximum number of attempts per request, including the first.
    std::uint32_t maxAttempts = 4;
    /// Time-out for a sidecar's acceptance of a request. Longer with an idempotency key, because the sidecar checks it
    /// with other replicas.
    std::chrono::milliseconds acceptTimeout{2'000};
    std::chrono::milliseconds keyedAcceptTimeout{5'000};
    /// Delay before the second retry, doubled with each further one. The first retry isn't delayed.
    std::chrono::milliseconds backoff{10};
    std::chrono::milliseconds maxBackoff{500};
    /// Average number of retries allowed per request, and the maximum number at once.
    double budgetRatio = 0.2;
    double budgetBurst = 100;
    /// Maximum time that a request waits for a usable target.
    std::chrono::milliseconds targetWait{2'000};
};

/// Choice of targets and connections to them.
struct routing_settings
{
    double boundFactor = 1.25;
    double copyFill = 0.5;
    std::chrono::milliseconds failureBackoff{250};
    std::chrono::milliseconds maxFailureBackoff{10'000};
    std::chrono::milliseconds slowStart{10'000};
    /// Maximum number of sidecars whose load is watched. If there are more, the most recently used ones are.
    std::size_t maxLoadWatches = 256;
    std::size_t maxPeerConnections = 512;
};

/// Tracking of requests that crashed targets.
struct suspect_settings
{
    std::size_t crashesToRefuse = 2;
    std::chrono::milliseconds fadeAfter{600'000};
    std::size_t maxFingerprints = 4096;
};

/// Graceful shutdown.
struct drain_settings
{
    /// Time between withdrawing readiness and refusing requests, for load balancers to notice.
    std::chrono::milliseconds grace{2'000};
    /// Maximum time to wait for running requests.
    std::chrono::milliseconds maxWait{600'000};
};

/// Sizes of the trace that the debug pages show.
struct trace_settings
{
    std::size_t maxRequests = 2048;
    std::size_t maxChanges = 512;
};

/// A peer from which tickets are fetched while the instance list is unavailable.
struct seed_settings
{
    std::string id;
    std::string address;
    std::uint16_t port = 0;
};

/// The platform's service.
struct platform_settings
{
    /// Root URL, for example "http://127.0.0.1:8500".
    std::string url;
    std::vector<seed_settings> seeds;
};

/// All settings of an entry.
struct entry_settings
{
    std::string instanceId;
    std::string dataCentre;
    std::string logLevel = "info";
    std::size_t workers = 4;
    /// Maximum number of operators with separate metrics.
    std::size_t maxMetricOperators = 200;
    platform_settings platform;
    listen_settings callers;
    /// Server for /metrics and /debug. If absent, they are served on the callers' port.
    std::optional<listen_settings> admin;
    request_settings requests;
    retry_settings retries;
    routing_settings routing;
    suspect_settings suspects;
    drain_settings drain;
    trace_settings trace;
};

/// Parses settings. Adds all faults found and returns no value if there is any.
[[nodiscard]] std::optional<entry_settings> parseSettings(const nlohmann::json &root, settings::fault_list &faults);
/// Reads settings from a file.
[[nodiscard]] std::optional<entry_settings> loadSettings(const std::string &path, settings::fault_list &faults);

} // namespace medlarrack::entry
