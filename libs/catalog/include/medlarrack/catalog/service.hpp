#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarrack::catalog {

/// A base model with its adapters.
struct base_model
{
    std::string name;
    double weightsMb = 0;
    double adapterMb = 0;
};

/// What the engines of a service hold.
struct engine_spec
{
    std::vector<base_model> models;
    /// Room for weights and adapters together.
    double weightsMb = 0;
    std::uint32_t adapterSlots = 0;
    /// Requests in one batch.
    std::uint32_t batchSize = 1;
};

/// A group of like replicas.
struct service
{
    std::string name;
    /// Connections that a replica takes from all callers together.
    std::uint32_t maxConnections = 100;
    /// Set for model engines.
    std::optional<engine_spec> engine;
};

} // namespace medlarrack::catalog
