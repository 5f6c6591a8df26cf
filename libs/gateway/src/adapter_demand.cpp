#include <medlarrack/gateway/adapter_demand.hpp>

#include <chrono>
#include <cmath>

namespace medlarrack::gateway {

namespace {

/// Time constant of the exponential decay. Under unsteady load the most requested adapters change every few seconds.
constexpr std::chrono::duration<double> decayTime{4.0};
/// Limit of adapters with a count; those below minCount are evicted when it is reached. The 70,000 adapters of one
/// deployment would take 8 MB.
constexpr std::size_t maxAdapters = 20'000;
/// Decayed count below which an adapter may be evicted.
constexpr double minCount = 0.5;

double decayed(double value, std::chrono::nanoseconds age)
{
    return value * std::exp(-std::chrono::duration<double>(age) / decayTime);
}

} // namespace

double adapter_demand::recordRequest(std::string_view adapter, core::monotonic_time now)
{
    if (m_counts.size() >= maxAdapters) {
        evictIdle(now);
    }
    decayed_count &known = m_counts[std::string(adapter)];
    known.value = decayed(known.value, now - known.updatedAt) + 1;
    known.updatedAt = now;
    return known.value;
}

std::size_t adapter_demand::size() const
{
    return m_counts.size();
}

void adapter_demand::evictIdle(core::monotonic_time now)
{
    std::erase_if(m_counts, [now](const auto &item) {
        return decayed(item.second.value, now - item.second.updatedAt) < minCount;
    });
    if (m_counts.size() >= maxAdapters) {
        m_counts.clear();
    }
}

} // namespace medlarrack::gateway
