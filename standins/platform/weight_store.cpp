#include "weight_store.hpp"

#include <algorithm>

namespace medlarrack::standins {

weight_store::verdict weight_store::start(const store_limits &limits, core::monotonic_time now,
                                          std::chrono::milliseconds &time)
{
    m_rate.setRate(limits.loadsPerS);
    if (!m_rate.take(now)) {
        return verdict::refused;
    }
    ++m_inTransit;
    m_mostInTransit = std::max(m_mostInTransit, m_inTransit);
    double slowdown = 1;
    for (const int full : {limits.loadsAtOnce, limits.transit}) {
        if (full > 0 && m_inTransit > full) {
            slowdown = std::max(slowdown, static_cast<double>(m_inTransit) / full);
        }
    }
    time = std::chrono::milliseconds(static_cast<long long>(limits.loadMs * slowdown));
    return verdict::loads;
}

void weight_store::finish()
{
    --m_inTransit;
}

int weight_store::inTransit() const
{
    return m_inTransit;
}

int weight_store::mostInTransit() const
{
    return m_mostInTransit;
}

} // namespace medlarrack::standins
