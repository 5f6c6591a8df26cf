#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/idempotency/recorded_answer.hpp>

#include <memory>

namespace medlarrack::idempotency {

/// What a replica says of a key that another one wants to run.
enum class seal_state {
    /// This incarnation has not run the key and never will.
    sealed,
    /// The key runs here, or this replica goes first in asking for it.
    taken,
    /// The key ran here.
    ran,
    /// The key was finally refused: it never runs anywhere.
    refused,
    /// The key may have run here.
    unknown,
};

/// Answer to a request for a seal.
struct seal
{
    seal_state state = seal_state::unknown;
    /// This incarnation knows of all that it did with keys born since then.
    core::wall_time recordsCompleteSince{};
    /// The recorded answer when state is ran.
    std::shared_ptr<const recorded_answer> answer;
};

} // namespace medlarrack::idempotency
