#include <medlarrack/gateway/adapter_demand.hpp>

#include <chrono>
#include <cmath>

namespace medlarrack::gateway {

namespace {

/// Time constant with which requests are forgotten: the busiest adapters change every few seconds on unsteady days.
constexpr std::chrono::duration<double> memory{4.0};
/// Adapters remembered at most; those idle for longest make room. 70,000 adapters of one deployment would take 8 MB.
constexpr std::size_t maxAdapters = 20'000;
/// Below this count an adapter may be forgotten.
constexpr double idleCount = 0.5;

double decayed(double value, std::chrono::nanoseconds age)
{
    return value * std::exp(-std::chrono::duration<double>(age) / memory);
}

} // namespace

double adapter_demand::recordRequest(std::string_view adapter, core::monotonic_time now)
{
    if (m_counts.size() >= maxAdapters) {
        forgetIdle(now);
    }
    count &known = m_counts[std::string(adapter)];
    known.value = decayed(known.value, now - known.at) + 1;
    known.at = now;
    return known.value;
}

std::size_t adapter_demand::size() const
{
    return m_counts.size();
}

void adapter_demand::forgetIdle(core::monotonic_time now)
{
    std::erase_if(m_counts, [now](const auto &entry) {
        return decayed(entry.second.value, now - entry.second.at) < idleCount;
    });
    if (m_counts.size() >= maxAdapters) {
        m_counts.clear();
    }
}

} // namespace medlarrack::gateway
