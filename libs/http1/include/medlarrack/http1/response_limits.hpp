#pragma once

#include <cstddef>
#include <cstdint>

namespace medlarrack::http1 {

/// Bounds on what a server may send for one call. A faulty server may send without end; beyond a bound the call fails
/// and the connection is closed.
struct response_limits
{
    /// Bytes of one response head.
    std::size_t maxHeadBytes = 32'768;
    /// Interim (1xx) responses.
    std::uint32_t maxInterimResponses = 16;
    /// Bytes of responses to other requests, and of interim ones, that are dropped.
    std::size_t maxDroppedBytes = 1'048'576;
};

} // namespace medlarrack::http1
