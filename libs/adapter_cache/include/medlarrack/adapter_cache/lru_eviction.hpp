#pragma once

#include <medlarrack/adapter_cache/eviction_policy.hpp>

namespace medlarrack::adapter_cache {

/// Evicts the least recently used adapter.
class lru_eviction final : public eviction_policy
{
public:
    void onUse(const core::adapter_ref &adapter, core::monotonic_time now) override;
    [[nodiscard]] std::size_t choose(std::span<const eviction_candidate> candidates, core::monotonic_time now) override;
};

} // namespace medlarrack::adapter_cache
