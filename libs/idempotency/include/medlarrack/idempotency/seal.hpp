#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/idempotency/recorded_answer.hpp>

#include <memory>

namespace medlarrack::idempotency {

/// A replica's answer when another one requests its seal for a key.
enum class seal_state {
    /// Promise that this incarnation has not run the key and never will.
    sealed,
    /// The key is running here, or this replica is collecting seals for it with precedence over the requester.
    taken,
    /// The key ran here.
    ran,
    /// The key was refused permanently: it never runs at any replica.
    refused,
    /// The key may have run here.
    unknown,
};

/// Answer to a seal request.
struct seal
{
    seal_state state = seal_state::unknown;
    /// This incarnation has complete records of its decisions on keys created since this time.
    core::wall_time recordsCompleteSince{};
    /// The recorded answer, if state is ran.
    std::shared_ptr<const recorded_answer> answer;
};

} // namespace medlarrack::idempotency
