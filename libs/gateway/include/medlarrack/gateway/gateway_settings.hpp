#pragma once

#include <medlarrack/gateway/key_policy.hpp>
#include <medlarrack/gateway/own_load.hpp>
#include <medlarrack/gateway/response_bounds.hpp>
#include <medlarrack/overload/retry_budget.hpp>
#include <medlarrack/settings/fault.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace medlarrack::gateway {

/// Settings of the gateway.
struct gateway_settings
{
    /// Name of the instance.
    std::string name;
    std::string dataCentre;
    /// Address to listen at for callers, "ADDRESS:PORT".
    std::string callers;
    /// Address to listen at for readiness probes and metrics.
    std::string admin;
    /// Address of the store that holds the published state and the instance list.
    std::string store;
    /// Port of all agents; each listens at the address of its engine.
    std::uint16_t agentPort = 0;
    /// Time within which a published change must be in force, the shortest of those promised. The poll interval of the
    /// store is a fraction of it.
    std::chrono::milliseconds changeBound{2'000};
    /// Time from the signal to stop until the process is killed. Requests in progress have most of it to complete.
    std::chrono::milliseconds gracePeriod{8'000};
    /// Bound on the retries of a service over all gateways, as a share of its requests within retryWindow.
    double retryRatio = 0.2;
    std::chrono::seconds retryWindow{10};
    response_bounds responseBounds;
    key_policy keyPolicy;
    /// Whether requests wait in a queue while no engine has capacity for them, the more urgent first.
    bool queueRequests = false;
    /// Memory that the process may use. A share of it is for what is kept for others.
    std::uint32_t memoryLimitMb = 256;
    /// Processor cores that the process may use; 0 if unknown.
    double cpuShare = 0;
    /// Bandwidth of its link in Mbit/s; 0 if unknown.
    double linkMbps = 0;
    /// Connections that callers may have open; 0 for three quarters of the descriptors that the process may open. The
    /// others are for replicas, agents, the store and pages.
    std::uint32_t maxConnections = 0;
    /// Longest answer of the store.
    std::uint32_t maxStoreAnswerKb = 32'768;
    std::string logLevel = "info";
};

/// Bytes that may be kept for others.
[[nodiscard]] std::size_t maxHeldBytes(const gateway_settings &settings);

/// The limits by which the process judges its own load.
[[nodiscard]] own_limits ownLimits(const gateway_settings &settings);
/// Connections that callers may have open at this process.
[[nodiscard]] std::size_t maxCallerConnections(const gateway_settings &settings);

/// This gateway's budget for the retries of one service. Gateways don't exchange counts: each applies the ratio to its
/// own requests.
[[nodiscard]] overload::retry_budget makeRetryBudget(const gateway_settings &settings);

/// Reads the settings from the root of a document and adds every fault found.
[[nodiscard]] std::optional<gateway_settings> parseSettings(const nlohmann::json &root, settings::fault_list &faults);
/// The same from a file.
[[nodiscard]] std::optional<gateway_settings> loadSettings(const std::string &path, settings::fault_list &faults);

} // namespace medlarrack::gateway
