#pragma once

#include <medlarrack/core/adapter_ref.hpp>
#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstddef>
#include <span>

namespace medlarrack::adapter_cache {

/// A loaded adapter that may be evicted.
struct eviction_candidate
{
    core::adapter_ref adapter;
    core::monotonic_time lastUsed{};
    /// Duration of its last load.
    std::chrono::nanoseconds loadTime{0};
};

/// Selects adapters for eviction. Called under the lock of the slot table's owner.
class eviction_policy
{
public:
    eviction_policy() = default;
    eviction_policy(const eviction_policy &) = delete;
    eviction_policy &operator=(const eviction_policy &) = delete;
    virtual ~eviction_policy() = default;

    /// Called when a request is admitted to an adapter.
    virtual void onUse(const core::adapter_ref &adapter, core::monotonic_time now) = 0;
    /// Returns the index of the candidate to evict. `candidates` isn't empty.
    [[nodiscard]] virtual std::size_t choose(std::span<const eviction_candidate> candidates,
                                             core::monotonic_time now) = 0;
};

} // namespace medlarrack::adapter_cache
