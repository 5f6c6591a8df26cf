#pragma once

#include <medlarrack/settings/fault.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace medlarrack::sidecar {

/// Where a server listens.
struct listen_settings
{
    std::string address = "127.0.0.1";
    /// 0 takes a free port.
    std::uint16_t port = 0;
    std::size_t maxConnections = 4096;
};

/// The target beside this sidecar.
struct target_settings
{
    /// "engine" or "service".
    std::string kind;
    /// Root of the target, for example "http://127.0.0.1:8000".
    std::string url;
    std::chrono::milliseconds pollInterval{500};
    /// How long an unreachable target is waited for before a broken request counts as its crash.
    std::chrono::milliseconds crashCheck{1'000};
    /// Requests at the target at once, and adapter slots; 0 takes what the engine or the published group says.
    std::size_t concurrency = 0;
    std::size_t slots = 0;
};

/// Bounds of what is held.
struct request_limits
{
    std::size_t maxQueued = 512;
    std::size_t maxQueuedPerOperator = 256;
    std::size_t maxQueuedBytes = 64U << 20U;
    std::size_t maxBodyBytes = 1U << 20U;
    /// Answer bytes that an entry may leave untaken before its stream is broken off.
    std::size_t maxBufferedBytes = 4U << 20U;
};

/// How adapters come and go.
struct adapter_settings
{
    std::chrono::milliseconds longestSlotWait{1'000};
    std::chrono::milliseconds firstBackoff{200};
    std::chrono::milliseconds longestBackoff{10'000};
    /// Longest time that a request waits for the next try after a failed load.
    std::chrono::milliseconds longestBackoffWait{250};
    /// This sidecar's part of the weight store.
    double loadsPerSecond = 2;
    std::size_t loadsAtOnce = 1;
};

struct drain_settings
{
    /// Queued requests may still start for this long after the drain began.
    std::chrono::milliseconds grace{2'000};
    /// Longest time for work in progress to finish before the process ends.
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
    listen_settings peers;
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

/// Reads settings; all faults are collected. Nothing when there is any.
[[nodiscard]] std::optional<sidecar_settings> parseSettings(const nlohmann::json &root, settings::fault_list &faults);
/// The same from a file of JSON with comments.
[[nodiscard]] std::optional<sidecar_settings> loadSettings(const std::string &path, settings::fault_list &faults);

} // namespace medlarrack::sidecar
