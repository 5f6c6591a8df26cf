#pragma once

#include <medlarrack/core/clock.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace medlarrack::gateway {

/// How often this process is asked for each adapter, with older requests counting less. Not thread-safe.
class adapter_demand
{
public:
    /// Counts a request; returns the decayed count with it.
    double recordRequest(std::string_view adapter, core::monotonic_time now);
    /// Adapters remembered.
    [[nodiscard]] std::size_t size() const;

private:
    struct count
    {
        double value = 0;
        core::monotonic_time at{};
    };

    void forgetIdle(core::monotonic_time now);

    std::unordered_map<std::string, count> m_counts;
};

} // namespace medlarrack::gateway
