#include <medlarrack/log/log.hpp>
#include <medlarrack/log/turned_away.hpp>

namespace medlarrack::log {

void writeTurnedAway(const core::turned_away_peer &peer, std::size_t heldBytes, std::uint64_t unlogged)
{
    write(level::warning, "peer turned away",
          {{"code", peer.code},
           {"why", peer.why},
           {"address", peer.address},
           {"bytes", std::uint64_t{peer.bytes}},
           {"held_bytes", std::uint64_t{heldBytes}},
           {"unlogged", unlogged}});
}

} // namespace medlarrack::log
