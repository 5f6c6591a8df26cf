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
    /// How long its last load took.
    std::chrono::nanoseconds loadTime{0};
};

/// Chooses what leaves a slot. Called under the lock of the slot table's owner.
class eviction_policy
{
public:
    eviction_policy() = default;
    eviction_policy(const eviction_policy &) = delete;
    eviction_policy &operator=(const eviction_policy &) = delete;
    virtual ~eviction_policy() = default;

    /// A request was admitted to the adapter.
    virtual void onUse(const core::adapter_ref &adapter, core::monotonic_time now) = 0;
    /// Index of the candidate to evict; there is at least one.
    [[nodiscard]] virtual std::size_t choose(std::span<const eviction_candidate> candidates,
                                             core::monotonic_time now) = 0;
};

} // namespace medlarrack::adapter_cache
