#pragma once

#include <medlarrack/core/adapter_ref.hpp>

#include <cstdint>
#include <vector>

namespace medlarrack::engine {

/// What a target says of itself. Engines report with a lag; plain services report only that they live.
struct target_load
{
    /// Changes with every start of the target; 0 when not told.
    std::uint64_t startedMs = 0;
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// 0 when not told.
    std::uint32_t batchSize = 0;
    std::uint32_t slots = 0;
    std::vector<core::adapter_ref> adapters;
    /// Batch steps since the start, and the sum of sequences in them.
    std::uint64_t steps = 0;
    std::uint64_t filled = 0;
    std::uint64_t tokens = 0;
};

} // namespace medlarrack::engine
