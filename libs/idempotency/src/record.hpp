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

/// What this incarnation knows of one key.
enum class record_state {
    /// Other replicas are being asked.
    sealing,
    running,
    ran,
    /// Finally refused: never runs anywhere.
    refused,
    /// Sealed for another replica: never runs here.
    yielded,
    /// May have run.
    unknown,
};

struct record
{
    record_state state = record_state::sealing;
    /// The key's birth as it counts for the request that made the record.
    core::wall_time createdAt{};
    /// The latest birth that the key can have for a later request: keys without birth time age with each request.
    core::wall_time newestCreationTime{};
    /// Replicas whose seal is missing.
    std::set<std::string, std::less<>> pending;
    core::wall_time sealDeadline{};
    std::vector<waiter_id> waiters;
    std::shared_ptr<const recorded_answer> answer;
    /// The replica that a yielded key was sealed for.
    std::string holderId;

    [[nodiscard]] bool finished() const
    {
        return state != record_state::sealing && state != record_state::running;
    }
};

} // namespace medlarrack::idempotency::detail
