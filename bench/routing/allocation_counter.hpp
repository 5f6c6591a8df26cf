#pragma once

#include <cstdint>

/// Number of allocations with operator new since the start of the process.
[[nodiscard]] std::uint64_t allocationCount();
