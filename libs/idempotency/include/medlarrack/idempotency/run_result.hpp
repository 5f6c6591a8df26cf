#pragma once

#include <medlarrack/idempotency/recorded_answer.hpp>

namespace medlarrack::idempotency {

/// How a run ended at the target.
enum class run_end {
    /// The target sent a complete answer.
    answered,
    /// It is certain that no byte reached the target.
    not_sent,
    /// The target may have run the request.
    unknown,
};

struct run_result
{
    run_end end = run_end::unknown;
    /// Set if the run was answered.
    recorded_answer answer;
};

} // namespace medlarrack::idempotency
