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

/// Objects shared by all requests. They are thread-safe and outlive the requests.
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
    /// Called when a sidecar reports a ticket number newer than the one applied here. May be empty.
    std::function<void(std::uint64_t number, std::string_view instanceId)> onNewerTicket;
};

} // namespace medlarrack::entry
