#pragma once

#include <medlarrack/routing/routing_request.hpp>

#include <cstdint>
#include <string_view>

namespace medlarrack::routing {

/// Why a target was chosen.
enum class choice_reason {
    /// The adapter is loaded there, or on its way there, and there is room.
    adapter_loaded,
    /// One of the adapter's homes, as many as demand asks for.
    home,
    /// Demand asks for another copy; this home doesn't have one yet.
    new_copy,
    /// All wanted homes are full; a further home of the adapter has room.
    further_home,
    /// All homes are full; the least loaded of a sample.
    spill,
    /// First choice for the idempotency key.
    key_home,
    /// The least loaded of a sample.
    least_loaded,
    /// A suspect runs where no other suspect runs.
    suspect_alone,
    /// Nothing usable was found: tried although it failed lately or runs a suspect.
    last_resort,
    /// The target of the attempt before: it may have recorded the answer.
    same_again,
    /// Drawn at random.
    random,
};

/// The reason's name in snake case.
[[nodiscard]] std::string_view toString(choice_reason value);

/// A routing decision with what it was based on.
struct choice
{
    target_index target = 0;
    choice_reason reason = choice_reason::least_loaded;
    /// Estimated load of the target when it was chosen: requests running and queued.
    std::uint32_t load = 0;
    /// Copies of the adapter that demand asks for; 0 for services.
    std::uint32_t copies = 0;
};

} // namespace medlarrack::routing
