#pragma once

#include <medlarrack/core/clock.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <deque>

namespace medlarrack::standins {

/// The list of instances with its past, so that it can be shown with a lag.
class instance_list
{
public:
    /// False unless it is an array.
    bool replace(nlohmann::json instances, core::monotonic_time now);
    /// {"as_of_ms", "instances"} as it was the lag ago.
    [[nodiscard]] nlohmann::json show(std::chrono::milliseconds lag, core::monotonic_time now,
                                      core::wall_time wallNow) const;

private:
    struct version
    {
        core::monotonic_time since;
        nlohmann::json instances;
    };

    std::deque<version> m_versions;
};

} // namespace medlarrack::standins
