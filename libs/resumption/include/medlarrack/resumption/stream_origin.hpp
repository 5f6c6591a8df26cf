#pragma once

#include <medlarrack/catalog/replica_record.hpp>

#include <cstdint>

/// Which streams may go on where. A stream can only be resumed at the software version that began it.
namespace medlarrack::resumption {

/// Hash of the id of the caller's attempt that brought a stream's first event.
using stream_key = std::uint64_t;

/// Hash of the service and the software version that a stream's events come from.
using stream_origin = std::uint64_t;

/// Stands for an origin that isn't known.
inline constexpr stream_origin unknownOrigin = 0;

/// Stands for the origin of a stream that can't be resumed anywhere, as it isn't known which version has begun it.
inline constexpr stream_origin uncertainOrigin = 1;

/// The origin of streams that a replica begins. Of a replica whose entry names no version nothing is known but that it
/// is like itself, so that its streams go on only there, and only until it starts again.
[[nodiscard]] stream_origin originOf(const catalog::replica_record &record);

} // namespace medlarrack::resumption
