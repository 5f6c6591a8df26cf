#pragma once

#include <cstdint>

/// Allocations made by this process so far.
[[nodiscard]] std::uint64_t allocationCount();
