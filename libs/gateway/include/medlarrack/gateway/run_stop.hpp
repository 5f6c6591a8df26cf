#pragma once

#include <string>

namespace medlarrack::gateway {

/// A call by which a replica is asked to stop a run.
struct stop_call
{
    std::string target;
    std::string body;
};

/// What is known of a run that a replica was asked to stop.
enum class stop_outcome {
    /// The replica doesn't work on it any more.
    stopped,
    /// The replica has answered, but not that the run has stopped.
    runs_on,
    /// The replica can't be reached or doesn't answer.
    unanswered,
};

/// The answer to a stop_call.
struct stop_answer
{
    stop_outcome outcome = stop_outcome::unanswered;
    /// Names the memory of the stopped run that its replica keeps; empty if it keeps none.
    std::string memory;
    /// The replica that is to go on has a copy of that memory.
    bool isCopied = false;
};

} // namespace medlarrack::gateway
