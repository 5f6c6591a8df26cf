#pragma once

#include <medlarrack/gateway/own_load.hpp>

namespace medlarrack::gateway {

/// Processor time and resident memory of this process. A figure that can't be read is 0.
[[nodiscard]] own_use readProcessUse();

} // namespace medlarrack::gateway
