#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/entry/entry_settings.hpp>

#include <cstdint>
#include <functional>
#include <string_view>

namespace medlarrack::tickets {
class state;
}
namespace medlarrack::trace {
class recorder;
}

namespace medlarrack::entry {

class retry_budget;
class run_metrics;
class shared_suspects;
class sidecar_link;
class target_directory;

/// What all requests share. All of it is thread-safe and outlives them.
struct run_environment
{
    const entry_settings &settings;
    const core::clock &clock;
    const tickets::state &tickets;
    target_directory &targets;
    sidecar_link &link;
    shared_suspects &suspects;
    retry_budget &retries;
    run_metrics &metrics;
    trace::recorder &trace;
    /// Told when a sidecar mentions a ticket number newer than the one in force here. May be empty.
    std::function<void(std::uint64_t number, std::string_view instanceId)> ticketHeard;
};

} // namespace medlarrack::entry
