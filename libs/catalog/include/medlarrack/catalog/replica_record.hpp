#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace medlarrack::catalog {

/// Versions of an engine's adapters, by "model/adapter".
using adapter_versions = std::map<std::string, std::uint64_t, std::less<>>;

/// A replica's entry in the instance list.
struct replica_record
{
    std::string id;
    std::string service;
    /// IPv4 address and port.
    std::string address;
    std::uint16_t port = 0;
    std::string dataCentre;
    /// Version of the replica's software, not of its models; empty if its entry names none.
    std::string softwareVersion;
    std::uint32_t slots = 1;
    /// The replica is draining: it accepts no new requests.
    bool leaving = false;
    /// Increases with each record of the same incarnation.
    std::uint64_t sequence = 0;
    /// Unix time of its start in milliseconds; 0 if not reported.
    std::uint64_t startedAtMs = 0;
    /// Names of the loaded base models.
    std::vector<std::string> models;
    adapter_versions adapters;
};

} // namespace medlarrack::catalog
