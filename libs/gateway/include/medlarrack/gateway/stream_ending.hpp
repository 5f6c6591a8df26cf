#pragma once

#include <cstddef>

namespace medlarrack::gateway {

/// How the last run of a stream has ended: a replica's response that was read up to the end that its framing gives it.
struct ended_run
{
    /// An event stream with status 200 and a replica's signature, without an encoding.
    bool isReplicaStream = false;
    /// Neither a length nor chunks tell where the body ends, only the end of its connection.
    bool endsWithConnection = false;
    /// Events of this run that were relayed.
    std::size_t events = 0;
    /// Bytes of an event that isn't complete.
    std::size_t partialEventBytes = 0;
    /// Whether the caller has events of this run, of an earlier one, or of an earlier attempt of its own.
    bool hasCallerEvents = false;
};

/// Whether the run shows that the caller has the whole stream. A later run may have no events if the earlier one broke
/// off behind the last event, but then something must say that the empty body is whole: a replica that stops before
/// its first event closes its connection in the same way.
[[nodiscard]] bool endsStream(const ended_run &run);

} // namespace medlarrack::gateway
