#pragma once

#include <medlarrack/settings/fault.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace medlarrack::sidecar {

/// Listening address and connection limit of a server.
struct listen_settings
{
    std::string address = "127.0.0.1";
    /// 0 selects a free port.
    std::uint16_t port = 0;
    std::size_t maxConnections = 4096;
};

/// The peers' server.
struct peer_settings : listen_settings
{
    /// Bytes held for all peers and readers of pages; 0 for as many as the queue may hold.
    std::size_t maxHeldBytes = 0;
    /// A request that isn't complete after this time is refused.
    std::chrono::milliseconds requestTimeout{15'000};
};

/// The target that this sidecar manages.
struct target_settings
{
    /// "engine" or "service".
    std::string kind;
    /// Root URL of the target, for example "http://127.0.0.1:8000".
    std::string url;
    std::chrono::milliseconds pollInterval{500};
    /// After a connection broke, how long to wait for an answer of the target; without one it counts as crashed.
    std::chrono::milliseconds crashCheck{1'000};
    /// Concurrent requests and adapter slots; 0 uses the values that the engine reports or that are published for the
    /// group.
    std::size_t concurrency = 0;
    std::size_t slots = 0;
};

/// Limits of queued and running requests.
struct request_limits
{
    std::size_t maxQueued = 512;
    std::size_t maxQueuedPerOperator = 256;
    std::size_t maxQueuedBytes = 64U << 20U;
    std::size_t maxBodyBytes = 1U << 20U;
    /// Unsent answer bytes per stream; a stream with more is aborted.
    std::size_t maxBufferedBytes = 4U << 20U;
};

/// Limits for loading adapters.
struct adapter_settings
{
    std::chrono::milliseconds longestSlotWait{1'000};
    std::chrono::milliseconds firstBackoff{200};
    std::chrono::milliseconds longestBackoff{10'000};
    /// A request is refused rather than wait longer than this for a retry of a failed load.
    std::chrono::milliseconds longestBackoffWait{250};
    /// This sidecar's share of the weight store's load rate, until the group's published rate is known.
    double loadsPerSecond = 2;
    std::size_t loadsAtOnce = 1;
};

struct drain_settings
{
    /// Queued requests may still start for this long after the drain has begun.
    std::chrono::milliseconds grace{2'000};
    /// The process exits after this time even if requests are still in progress.
    std::chrono::milliseconds maxWait{600'000};
};

/// Settings of a medlarrack-sidecar; docs/SIDECAR.md describes their JSON form.
struct sidecar_settings
{
    std::string instanceId;
    std::string dataCentre;
    /// Engine group, or name of the service.
    std::string group;
    std::string logLevel = "info";
    std::size_t workers = 2;
    std::size_t maxMetricOperators = 200;
    peer_settings peers;
    listen_settings admin;
    target_settings target;
    std::string platformUrl;
    request_limits requests;
    adapter_settings adapters;
    drain_settings drain;
    std::chrono::milliseconds shortestPause{1'000};
    std::size_t traceRequests = 2'000;

    [[nodiscard]] bool isEngine() const
    {
        return target.kind == "engine";
    }
};

/// Parses settings and collects all faults; returns nullopt if there are any.
[[nodiscard]] std::optional<sidecar_settings> parseSettings(const nlohmann::json &root, settings::fault_list &faults);
/// Like parseSettings(), from a file of JSON with comments.
[[nodiscard]] std::optional<sidecar_settings> loadSettings(const std::string &path, settings::fault_list &faults);

} // namespace medlarrack::sidecar
