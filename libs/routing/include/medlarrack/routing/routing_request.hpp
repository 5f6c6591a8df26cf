#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/request_class.hpp>

#include <cstdint>
#include <span>

namespace medlarrack::routing {

/// Index of a target in its group's target_table. Stable while the target is listed or has attempts of this process in
/// progress.
using target_index = std::uint32_t;

/// The properties of a request that its routing depends on.
struct routing_request
{
    /// Hash of adapter and version; 0 for a service call.
    std::uint64_t adapter = 0;
    /// Hash of the idempotency key; 0 for idempotent requests. Service calls with equal keys prefer the same target.
    std::uint64_t key = 0;
    core::request_class priority = core::request_class::interactive;
    /// A target crashed while it ran this request; it must not share a target with another suspect.
    bool suspect = false;
    /// Targets that must not be chosen, usually because this request was already tried there.
    std::span<const target_index> excluded;
    core::monotonic_time now{};
};

} // namespace medlarrack::routing
