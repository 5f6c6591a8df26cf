#pragma once

#include "run_relay.hpp"

#include <medlarrack/core/clock.hpp>
#include <medlarrack/engine/target_driver.hpp>
#include <medlarrack/idempotency/request_key.hpp>
#include <medlarrack/peer/messages.hpp>

#include <cstdint>

namespace medlarrack::sidecar::detail {

/// How far a request has come.
enum class request_phase {
    queued,
    /// Being given to the target.
    starting,
    running,
};

/// A request in the dispatcher's hands. Phase and flags are guarded by the dispatcher's mutex; the rest is fixed, but
/// for the body, which moves to the driver at the start.
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
    /// The idempotency key as the key registry knows it.
    const std::string key;
    peer::run_request request;

    request_phase phase = request_phase::queued;
    core::monotonic_time started{};
    core::wall_time startedWall{};
    /// To be cancelled as soon as the target has it.
    bool cancelRequested = false;
    /// The caller has gone: nothing is sent any more.
    bool callerDisconnected = false;
    /// The target was restarted while it ran.
    bool targetCrashed = false;
    /// Why this process broke it off, if it did.
    core::reason abortReason;
    /// The key registry knows of it: whether its key has run isn't for this request alone to say.
    bool keyRegistered = false;
    /// The answer of a keyed run, as it passes; used by the target's callbacks only.
    idempotency::recorded_answer answer;
};

} // namespace medlarrack::sidecar::detail
