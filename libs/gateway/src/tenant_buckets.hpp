#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::gateway {

/// Which agents keep the buckets of which tenants: two for each group of tenants, by rendezvous hashing, so that all
/// gateways choose the same ones, and one is left if the other ends.
class tenant_buckets
{
public:
    struct connected_agent
    {
        std::string id;
        /// Hash of its machine, which outlasts the engine beside it: the same at all gateways.
        std::uint64_t machineHash = 0;
    };

    explicit tenant_buckets(std::span<const connected_agent> agents);

    /// Ids of the agents that keep any buckets.
    [[nodiscard]] std::vector<std::string> agents() const;
    [[nodiscard]] bool isKeptBy(std::string_view tenant, std::string_view agent) const;

private:
    /// Tenants of a group share their agents, so that a report names several of them.
    static constexpr std::size_t groups = 8;
    static constexpr std::size_t agentsPerGroup = 2;

    std::array<std::vector<std::string>, groups> m_agents;
};

} // namespace medlarrack::gateway
