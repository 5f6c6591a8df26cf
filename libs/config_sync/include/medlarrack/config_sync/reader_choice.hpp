#pragma once

#include <medlarrack/instances/view.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::config_sync {

/// A process that can be asked for tickets.
struct peer_ref
{
    std::string id;
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const peer_ref &) const = default;
};

/// Who may be asked, best first.
struct peer_choice
{
    /// Whether this process itself reads the service for its data centre.
    bool selfReads = false;
    /// Whether it is a spare, which reads as long as enough of those before it don't answer.
    bool selfIsSpare = false;
    /// How many sidecars of the data centre read.
    std::size_t readers = 0;
    /// Those that come before this process in the choice, when it is a reader or a spare.
    std::vector<std::string> before;
    /// Readers of this process's data centre, without itself.
    std::vector<peer_ref> nearReaders;
    /// Sidecars of the data centre that would be the next readers.
    std::vector<peer_ref> spares;
    /// First reader of each other data centre.
    std::vector<peer_ref> farReaders;
};

/// Rules of the choice.
struct choice_settings
{
    std::size_t sidecarsPerReader = 100;
    std::size_t leastReaders = 2;
};

/// Chooses the readers of each data centre by rendezvous hashing over the sidecars that the list holds and that don't
/// leave. Processes with the same list choose the same readers; with different lists they choose partly others, which
/// costs calls but breaks nothing. The process itself counts as listed when it is a sidecar.
[[nodiscard]] peer_choice chooseReaders(const instances::instance_list &list, const instances::instance &self,
                                        const choice_settings &settings);

} // namespace medlarrack::config_sync
