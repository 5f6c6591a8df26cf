#pragma once

#include <medlarrack/core/clock.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace medlarrack::gateway {

/// Exponentially decayed request count per adapter, for the requests of this process. Not thread-safe.
class adapter_demand
{
public:
    /// Counts a request and returns the adapter's decayed count, including this request.
    double recordRequest(std::string_view adapter, core::monotonic_time now);
    /// Number of adapters that have a count.
    [[nodiscard]] std::size_t size() const;

private:
    struct decayed_count
    {
        double value = 0;
        core::monotonic_time updatedAt{};
    };

    void evictIdle(core::monotonic_time now);

    std::unordered_map<std::string, decayed_count> m_counts;
};

} // namespace medlarrack::gateway
