#pragma once

#include <chrono>
#include <cstdint>

namespace medlarrack::gateway {

/// Whole milliseconds, the unit of times in log lines.
[[nodiscard]] inline std::int64_t inMilliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace medlarrack::gateway
