#pragma once

#include <medlarrack/instances/view.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::config_sync {

/// A process that can be queried for tickets.
struct peer_ref
{
    std::string id;
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const peer_ref &) const = default;
};

/// The peers that a process may query, by role. Sidecars of its own data centre are in rank order.
struct peer_choice
{
    /// Whether this process reads the service for its data centre.
    bool selfIsReader = false;
    /// Whether this process is a spare, which reads while enough of the higher-ranked sidecars don't answer.
    bool selfIsSpare = false;
    /// Number of sidecars of the data centre that read.
    std::size_t readerCount = 0;
    /// Ids of the sidecars ranked above this process; set only when it is a reader or a spare.
    std::vector<std::string> higherRanked;
    /// Readers of this process's data centre, excluding itself.
    std::vector<peer_ref> localReaders;
    /// Sidecars of the data centre that replace readers that fail.
    std::vector<peer_ref> spares;
    /// Highest-ranked reader of each other data centre.
    std::vector<peer_ref> remoteReaders;
};

/// Parameters of chooseReaders().
struct choice_settings
{
    std::size_t sidecarsPerReader = 100;
    std::size_t minReaders = 2;
};

/// Chooses the readers of each data centre by rendezvous hashing over the listed sidecars that aren't leaving.
/// Processes with the same list choose the same readers. Differing lists give partly different readers, which costs
/// extra calls but is otherwise harmless. The process itself counts as listed when it is a sidecar.
[[nodiscard]] peer_choice chooseReaders(const instances::instance_list &list, const instances::instance &self,
                                        const choice_settings &settings);

} // namespace medlarrack::config_sync
