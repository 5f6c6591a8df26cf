#pragma once

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
    /// Share of the requests of a service that may be sent once more, and those allowed besides each second.
    double retryShare = 0.15;
    double retriesPerSecond = 0.5;
    std::string logLevel = "info";
};

/// Reads the settings from the root of their document; every fault found is added.
[[nodiscard]] std::optional<gateway_settings> parseSettings(const nlohmann::json &root, settings::fault_list &faults);
/// The same from a file.
[[nodiscard]] std::optional<gateway_settings> loadSettings(const std::string &path, settings::fault_list &faults);

} // namespace medlarrack::gateway
