#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/request_class.hpp>

#include <cstdint>
#include <span>

namespace medlarrack::routing {

/// Position of a target in its group's table. Stays with the target as long as it is listed or has work from here.
using target_index = std::uint32_t;

/// What a routing decision depends on besides the targets.
struct routing_request
{
    /// Hash of adapter and version; 0 for a call of a plain service.
    std::uint64_t adapter = 0;
    /// Hash of the idempotency key; 0 for idempotent requests. Equal keys prefer the same target.
    std::uint64_t key = 0;
    core::request_class priority = core::request_class::interactive;
    /// The request ran on a target that crashed: it must run where no other suspect runs.
    bool suspect = false;
    /// Targets that were tried already for this request.
    std::span<const target_index> excluded;
    core::monotonic_time now{};
};

} // namespace medlarrack::routing
