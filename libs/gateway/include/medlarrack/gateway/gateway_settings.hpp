#pragma once

#include <medlarrack/overload/retry_budget.hpp>
#include <medlarrack/settings/fault.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
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
    /// Where callers connect, "ADDRESS:PORT".
    std::string callers;
    /// Where readiness is asked for and metrics are read.
    std::string admin;
    /// The store of the published state.
    std::string store;
    /// Port of the agents; each listens at its engine's address.
    std::uint16_t agentPort = 0;
    /// Time in which a published change must be in force, the shortest of those promised. The store is asked at a share
    /// of it.
    std::chrono::milliseconds changeBound{2'000};
    /// Time for running requests after a request to stop.
    std::chrono::milliseconds drainTime{7'000};
    /// Bound of the retries of a service over all gateways, as a share of its requests in a time.
    double retryRatio = 0.2;
    std::chrono::seconds retryWindow{10};
    std::string logLevel = "info";
};

/// A gateway's part of the bound on a service's retries. Gateways don't count each other's: each keeps to the share of
/// its own requests.
[[nodiscard]] overload::retry_budget makeRetryBudget(const gateway_settings &settings);

/// Reads the settings from the root of their document; every fault found is added.
[[nodiscard]] std::optional<gateway_settings> parseSettings(const nlohmann::json &root, settings::fault_list &faults);
/// The same from a file.
[[nodiscard]] std::optional<gateway_settings> loadSettings(const std::string &path, settings::fault_list &faults);

} // namespace medlarrack::gateway
