#pragma once

#include <medlarrack/gateway/own_load.hpp>

#include <cstddef>

namespace medlarrack::gateway {

/// File descriptors of this process.
struct descriptor_use
{
    std::size_t open = 0;
    /// Those that it may open; 0 if unknown.
    std::size_t limit = 0;
};

/// Processor time and resident memory of this process. A figure that can't be read is 0.
[[nodiscard]] own_use readProcessUse();

/// Counts the descriptors one by one: for pages, not for each tick.
[[nodiscard]] descriptor_use readDescriptorUse();

} // namespace medlarrack::gateway
