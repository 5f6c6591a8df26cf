#pragma once

#include "rate_limit.hpp"

#include <chrono>
#include <cstddef>

namespace medlarrack::standins {

/// Limits of the weight store; zero or less for none.
struct store_limits
{
    double loadsPerS = 7;
    int loadsAtOnce = 3;
    int transit = 24;
    int loadMs = 250;
};

/// Decides how long a load takes. A load above the rate is refused; above those at once at full speed, and above the
/// limit of loads in transit, it is proportionally slower.
class weight_store
{
public:
    enum class verdict {
        loads,
        refused,
    };

    /// Starts a load when it may start; its time is set.
    verdict start(const store_limits &limits, core::monotonic_time now, std::chrono::milliseconds &time);
    void finish();

    [[nodiscard]] int inTransit() const;
    [[nodiscard]] int mostInTransit() const;

private:
    rate_limit m_rate;
    int m_inTransit = 0;
    int m_mostInTransit = 0;
};

} // namespace medlarrack::standins
