#pragma once

#include <medlarrack/config_sync/planner_settings.hpp>
#include <medlarrack/config_sync/reader_choice.hpp>
#include <medlarrack/instances/instance.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace medlarrack::config_sync {

/// Settings of a platform_reader.
struct reader_settings
{
    /// Root of the platform's service, for example "http://127.0.0.1:8500".
    std::string platformUrl;
    /// This process; id, kind and data centre must be set.
    instances::instance self;
    planner_settings planner;
    /// Time without an answer of the service, in addition to the wait time of a watch. One that keeps coming may take
    /// longer.
    std::chrono::milliseconds callTimeout{3'000};
    /// Peers to query while the instance list can't be read; may be empty.
    std::vector<peer_ref> seeds;
};

} // namespace medlarrack::config_sync
