#pragma once

#include <medlarrack/overload/rate_limiter.hpp>

#include <cstdint>
#include <optional>

namespace medlarrack::overload {

/// Limits how many log lines of a kind are written, and counts those that are left out. Not thread-safe.
class log_rate
{
public:
    log_rate(double linesPerSecond, double burst, core::monotonic_time now);

    /// Asks for one line. Returns the number of lines that were left out since the last one that was written; nothing
    /// if this one is left out too.
    [[nodiscard]] std::optional<std::uint64_t> tryWrite(core::monotonic_time now);

private:
    rate_limiter m_limiter;
    std::uint64_t m_leftOut = 0;
};

} // namespace medlarrack::overload
