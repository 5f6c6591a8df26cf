#include "instance_list.hpp"

#include <cstddef>
#include <utility>

namespace medlarrack::standins {

namespace {

constexpr std::size_t maxVersions = 256;

} // namespace

bool instance_list::replace(nlohmann::json instances, core::monotonic_time now)
{
    if (!instances.is_array()) {
        return false;
    }
    m_versions.push_back({now, std::move(instances)});
    if (m_versions.size() > maxVersions) {
        m_versions.pop_front();
    }
    return true;
}

nlohmann::json instance_list::show(std::chrono::milliseconds lag, core::monotonic_time now,
                                   core::wall_time wallNow) const
{
    const auto asOf = now - lag;
    auto shown = nlohmann::json::array();
    for (const auto &past : m_versions) {
        if (past.since <= asOf) {
            shown = past.instances;
        }
    }
    return {{"as_of_ms", (wallNow - lag).time_since_epoch().count()}, {"instances", std::move(shown)}};
}

} // namespace medlarrack::standins
