#pragma once

#include <cstdint>

namespace medlarrack::gateway {

/// Bounds on the response of a replica, in units of 1,024 bytes. A faulty replica may send without end; beyond a bound
/// its connection is closed and the run counts as lost.
struct response_bounds
{
    /// Body that isn't an event stream; it is buffered whole.
    std::uint32_t maxBodyKb = 4'096;
    /// One event of a stream.
    std::uint32_t maxEventKb = 256;
    /// All bytes of an event stream.
    std::uint32_t maxStreamKb = 65'536;
};

/// Bytes in a number of units of 1,024 bytes.
[[nodiscard]] constexpr std::uint64_t kilobytes(std::uint32_t count)
{
    constexpr std::uint64_t bytesPerKb = 1'024;
    return count * bytesPerKb;
}

} // namespace medlarrack::gateway
