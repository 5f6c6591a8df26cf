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

/// Where an HTTP server listens and what it lets in.
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
};

/// Bounds of one request.
struct request_settings
{
    /// Time to answer a request whose caller names none, and the longest that a caller may name.
    std::chrono::milliseconds defaultDeadline{30'000};
    std::chrono::milliseconds maxDeadline{600'000};
    /// Answers that aren't streamed are buffered whole, up to this size.
    std::size_t maxResponseBytes = 16U << 20U;
    /// Requests in flight at this entry. Bulk requests may fill 80% of it, interactive ones 95%.
    std::size_t maxInFlight = 4096;
};

/// When a request is sent again.
struct retry_settings
{
    /// Attempts for one request, the first included.
    std::uint32_t maxAttempts = 4;
    /// Time for a sidecar to say that it accepted a request. Checking a key with other replicas takes longer.
    std::chrono::milliseconds acceptTimeout{2'000};
    std::chrono::milliseconds keyedAcceptTimeout{5'000};
    /// Pause before the second retry; doubles with each further one.
    std::chrono::milliseconds backoff{10};
    std::chrono::milliseconds maxBackoff{500};
    /// Retries allowed per request in the long run, and how many may come at once.
    double budgetRatio = 0.2;
    double budgetBurst = 100;
    /// How long a request waits for a usable target to appear.
    std::chrono::milliseconds targetWait{2'000};
};

/// How targets are judged.
struct routing_settings
{
    double boundFactor = 1.25;
    double copyFill = 0.5;
    std::chrono::milliseconds failureBackoff{250};
    std::chrono::milliseconds maxFailureBackoff{10'000};
    std::chrono::milliseconds slowStart{10'000};
    /// Sidecars whose load is watched at once; beyond, those used last.
    std::size_t maxLoadWatches = 256;
    std::size_t maxPeerConnections = 512;
};

/// Memory of requests that crashed targets.
struct suspect_settings
{
    std::size_t crashesToRefuse = 2;
    std::chrono::milliseconds fadeAfter{600'000};
    std::size_t maxFingerprints = 4096;
};

/// Graceful shutdown.
struct drain_settings
{
    /// Time between losing readiness and refusing work, for balancers to notice.
    std::chrono::milliseconds grace{2'000};
    /// Longest time for running requests to end.
    std::chrono::milliseconds maxWait{600'000};
};

/// What is kept for explaining.
struct trace_settings
{
    std::size_t maxRequests = 2048;
    std::size_t maxChanges = 512;
};

/// A peer to ask for tickets while the instance list can't be read.
struct seed_settings
{
    std::string id;
    std::string address;
    std::uint16_t port = 0;
};

/// The platform's service.
struct platform_settings
{
    /// Root, for example "http://127.0.0.1:8500".
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
    /// Operators with metrics of their own.
    std::size_t maxMetricOperators = 200;
    platform_settings platform;
    listen_settings callers;
    /// Where /metrics and /debug are served; with callers when absent.
    std::optional<listen_settings> admin;
    request_settings requests;
    retry_settings retries;
    routing_settings routing;
    suspect_settings suspects;
    drain_settings drain;
    trace_settings trace;
};

/// Reads settings; all faults are added at once. Nothing is returned when there is one. The member "platform" is left
/// to the reader of the platform's services.
[[nodiscard]] std::optional<entry_settings> parseSettings(const nlohmann::json &root, settings::fault_list &faults);
/// Reads settings from a file.
[[nodiscard]] std::optional<entry_settings> loadSettings(const std::string &path, settings::fault_list &faults);

} // namespace medlarrack::entry
