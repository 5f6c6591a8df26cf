#pragma once

#include <medlarrack/core/byte_budget.hpp>

#include <cstddef>
#include <cstdint>

namespace medlarrack::log {

/// Writes a line about a peer that was turned away. `heldBytes` is what the process holds for all peers, `unlogged` the
/// number of peers since the last line.
void writeTurnedAway(const core::turned_away_peer &peer, std::size_t heldBytes, std::uint64_t unlogged);

} // namespace medlarrack::log
