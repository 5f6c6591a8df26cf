#pragma once

#include <medlarrack/routing/routing_request.hpp>

#include <cstdint>
#include <string_view>

namespace medlarrack::routing {

/// Why a target was chosen. The names appear in request traces.
enum class choice_reason {
    /// The target has the adapter loaded or is expected to load it, and has capacity.
    adapter_loaded,
    /// One of the adapter's homes that current demand uses.
    home,
    /// Demand requires another copy of the adapter; this home is to load it.
    new_copy,
    /// The homes that current demand uses are at capacity; a home of lower weight was taken.
    further_home,
    /// All homes are at capacity; the least loaded target of a sample.
    spill,
    /// Of the sampled targets, the one with the highest rendezvous weight for the idempotency key.
    key_home,
    /// The least loaded target of a sample.
    least_loaded,
    /// The request is a suspect; no other suspect runs on the target.
    suspect_alone,
    /// No target is usable; one that is in failure backoff or runs a suspect was taken.
    last_resort,
    /// A target given by the caller of the router rather than by a policy, such as the one that may hold the recorded
    /// answer of an earlier attempt.
    same_again,
    /// Chosen at random.
    random,
};

/// The enumerator's name.
[[nodiscard]] std::string_view toString(choice_reason value);

/// A routing decision and the figures it was based on.
struct choice
{
    target_index target = 0;
    choice_reason reason = choice_reason::least_loaded;
    /// Estimated load of the target when it was chosen, in requests running and queued.
    std::uint32_t load = 0;
    /// Number of copies of the adapter that demand requires; 0 for services.
    std::uint32_t copies = 0;
};

} // namespace medlarrack::routing
