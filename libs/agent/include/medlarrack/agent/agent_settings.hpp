#pragma once

#include <medlarrack/settings/fault.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace medlarrack::agent {

/// Settings of the agent beside an engine.
struct agent_settings
{
    /// Name of the instance; the holder of the engine's orders.
    std::string name;
    std::string dataCentre;
    /// Where gateways connect.
    std::string address;
    std::uint16_t port = 0;
    /// Where metrics are read, at the same address; 0 for nowhere.
    std::uint16_t metricsPort = 0;
    /// The engine, "ADDRESS:PORT".
    std::string engine;
    std::string logLevel = "info";
};

/// Reads the settings from the root of their document; every fault found is added.
[[nodiscard]] std::optional<agent_settings> parseSettings(const nlohmann::json &root, settings::fault_list &faults);
/// The same from a file.
[[nodiscard]] std::optional<agent_settings> loadSettings(const std::string &path, settings::fault_list &faults);

} // namespace medlarrack::agent
