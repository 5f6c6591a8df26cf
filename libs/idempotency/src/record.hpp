#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/idempotency/action.hpp>
#include <medlarrack/idempotency/recorded_answer.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace medlarrack::idempotency::detail {

/// State of a key at this incarnation.
enum class record_state {
    /// Collecting the seals of the other replicas.
    sealing,
    running,
    ran,
    /// Refused permanently: never runs at any replica.
    refused,
    /// Yielded to another replica: never runs here.
    yielded,
    /// May have run.
    unknown,
};

struct record
{
    record_state state = record_state::sealing;
    /// Creation time of the key as assumed for the request that created the record.
    core::wall_time createdAt{};
    /// Latest creation time that may be assumed for a later request with the key. Differs from createdAt for opaque
    /// keys, whose assumed creation time depends on the time of the request.
    core::wall_time newestCreationTime{};
    /// Replicas whose seal is still missing.
    std::set<std::string, std::less<>> awaitedReplicas;
    core::wall_time sealDeadline{};
    std::vector<waiter_id> waiters;
    std::shared_ptr<const recorded_answer> answer;
    /// The replica that the key was yielded to.
    std::string holderId;

    [[nodiscard]] bool isFinished() const
    {
        return state != record_state::sealing && state != record_state::running;
    }
};

} // namespace medlarrack::idempotency::detail
