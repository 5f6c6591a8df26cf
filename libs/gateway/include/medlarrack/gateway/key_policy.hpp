#pragma once

#include <chrono>

namespace medlarrack::gateway {

/// What becomes of requests with keys while the published state may be outdated.
struct key_policy
{
    /// Without an answer of the store for this long, an unknown key may be one of a newer state: its request is refused
    /// for now rather than for good.
    std::chrono::milliseconds outdatedAfter{2'000};
    /// Whether known keys stop counting, too, without an answer of the store for `revokeBound`.
    bool failClosed = false;
    std::chrono::milliseconds revokeBound{5'000};
};

} // namespace medlarrack::gateway
