#include "tenant_buckets.hpp"

#include <medlarrack/core/hash.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace medlarrack::gateway {

tenant_buckets::tenant_buckets(std::span<const connected_agent> agents)
{
    std::vector<std::pair<std::uint64_t, const connected_agent *>> ranked;
    for (std::size_t group = 0; group < groups; ++group) {
        ranked.clear();
        for (const connected_agent &agent : agents) {
            ranked.emplace_back(core::rendezvousWeight(core::hash64(std::to_string(group)), agent.machineHash), &agent);
        }
        const auto kept = static_cast<std::ptrdiff_t>(std::min(agentsPerGroup, ranked.size()));
        std::partial_sort(ranked.begin(), ranked.begin() + kept, ranked.end(), std::greater<>());
        for (auto it = ranked.begin(); it != ranked.begin() + kept; ++it) {
            m_agents.at(group).push_back(it->second->id);
        }
    }
}

std::vector<std::string> tenant_buckets::agents() const
{
    std::set<std::string> all;
    for (const auto &group : m_agents) {
        all.insert(group.begin(), group.end());
    }
    return {all.begin(), all.end()};
}

bool tenant_buckets::isKeptBy(std::string_view tenant, std::string_view agent) const
{
    const auto &kept = m_agents.at(core::hash64(tenant) % groups);
    return std::find(kept.begin(), kept.end(), agent) != kept.end();
}

} // namespace medlarrack::gateway
