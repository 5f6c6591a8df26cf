#include <medlarrack/gateway/stream_ending.hpp>

namespace medlarrack::gateway {

bool endsStream(const ended_run &run)
{
    if (!run.isReplicaStream || run.partialEventBytes > 0 || !run.hasCallerEvents) {
        return false;
    }
    return run.events > 0 || !run.endsWithConnection;
}

} // namespace medlarrack::gateway
