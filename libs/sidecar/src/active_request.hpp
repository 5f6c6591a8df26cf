#pragma once

#include "run_relay.hpp"

#include <medlarrack/core/clock.hpp>
#include <medlarrack/engine/target_driver.hpp>
#include <medlarrack/idempotency/request_key.hpp>
#include <medlarrack/peer/messages.hpp>

#include <cstdint>

namespace medlarrack::sidecar::detail {

/// Progress of a request.
enum class request_phase {
    queued,
    /// Being sent to the target.
    starting,
    running,
};

/// A request that the dispatcher has not finished. Phase and flags are guarded by the dispatcher's mutex; the rest is
/// constant, except for headers and body, which are moved to the driver when the run starts.
struct active_request
{
    active_request(std::uint64_t number, peer::run_request message, std::shared_ptr<peer::reply_stream> reply,
                   core::monotonic_time now, metrics::registry &metrics)
        : id(number)
        , enqueued(now)
        , deadline(now + message.deadlineLeft)
        , relay(message, std::move(reply), now, metrics)
        , key(idempotency::scopedKey(message.operatorName, message.idempotencyKey))
        , request(std::move(message))
    {
    }

    const std::uint64_t id;
    const core::monotonic_time enqueued;
    const core::monotonic_time deadline;
    run_relay relay;
    /// Idempotency key, scoped to the operator, as used in the key registry.
    const std::string key;
    peer::run_request request;

    request_phase phase = request_phase::queued;
    core::monotonic_time started{};
    core::wall_time startedWall{};
    /// The run is cancelled as soon as it has been sent to the target.
    bool cancelRequested = false;
    /// The caller has disconnected; nothing more is sent to it.
    bool callerDisconnected = false;
    /// The target crashed or was restarted while the request ran.
    bool targetCrashed = false;
    /// Why this process aborted the run; an empty code if it did not.
    core::reason abortReason;
    /// Submitted to the key registry. Other requests may have run its key, so this one's state alone doesn't prove "not
    /// run".
    bool keyRegistered = false;
    /// Answer of a run with a key, recorded while it is relayed; used only by the target's callbacks until the run
    /// ends.
    idempotency::recorded_answer answer;
};

} // namespace medlarrack::sidecar::detail
