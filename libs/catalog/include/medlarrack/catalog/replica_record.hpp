#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace medlarrack::catalog {

/// Adapters of an engine with their versions, by "model/adapter".
using adapter_versions = std::map<std::string, std::uint64_t, std::less<>>;

/// What a replica says of itself in the instance list.
struct replica_record
{
    std::string id;
    std::string service;
    /// IPv4 address and port.
    std::string address;
    std::uint16_t port = 0;
    std::string dataCentre;
    std::uint32_t slots = 1;
    /// Takes no new requests.
    bool leaving = false;
    /// Grows with each record of one start.
    std::uint64_t sequence = 0;
    /// Unix time of its start in milliseconds; 0 if it doesn't say.
    std::uint64_t startedAtMs = 0;
    /// Names of the base models that it holds.
    std::vector<std::string> models;
    adapter_versions adapters;
};

} // namespace medlarrack::catalog
