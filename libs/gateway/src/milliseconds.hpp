#pragma once

#include <chrono>
#include <cstdint>

namespace medlarrack::gateway {

/// A time as log lines give it.
[[nodiscard]] inline std::int64_t inMilliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace medlarrack::gateway
