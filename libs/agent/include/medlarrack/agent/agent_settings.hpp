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
    /// Name of the instance; identifies the holder in orders to the engine.
    std::string name;
    std::string dataCentre;
    /// IPv4 address on which gateways connect.
    std::string address;
    std::uint16_t port = 0;
    /// Port of the metrics page on the same address; 0 for none.
    std::uint16_t metricsPort = 0;
    /// Address of the engine, "ADDRESS:PORT".
    std::string engine;
    /// Longest answer of the engine, in units of 1,024 bytes.
    std::uint32_t maxReportKb = 4'096;
    std::string logLevel = "info";
};

/// Reads the settings from the root of a document; adds every fault found.
[[nodiscard]] std::optional<agent_settings> parseSettings(const nlohmann::json &root, settings::fault_list &faults);
/// Reads the settings from a file; adds every fault found.
[[nodiscard]] std::optional<agent_settings> loadSettings(const std::string &path, settings::fault_list &faults);

} // namespace medlarrack::agent
