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

/// Models and capacity of a service's engines.
struct engine_spec
{
    std::vector<base_model> models;
    /// Memory for the weights of models and adapters together.
    double weightsMb = 0;
    std::uint32_t adapterSlots = 0;
    /// Largest number of requests in one batch.
    std::uint32_t batchSize = 1;
};

/// A group of identically configured replicas.
struct service
{
    std::string name;
    /// Limit of a replica's connections from all callers together.
    std::uint32_t maxConnections = 100;
    /// Set for services whose replicas are model engines.
    std::optional<engine_spec> engine;
};

} // namespace medlarrack::catalog
