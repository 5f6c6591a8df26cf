#include <medlarrack/adapter_cache/lru_eviction.hpp>

#include <algorithm>

namespace medlarrack::adapter_cache {

void lru_eviction::onUse(const core::adapter_ref & /*adapter*/, core::monotonic_time /*now*/)
{
}

std::size_t lru_eviction::choose(std::span<const eviction_candidate> candidates, core::monotonic_time /*now*/)
{
    const auto leastRecent = std::min_element(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return a.lastUsed < b.lastUsed;
    });
    return static_cast<std::size_t>(leastRecent - candidates.begin());
}

} // namespace medlarrack::adapter_cache
