#pragma once

#include <medlarrack/core/clock.hpp>

namespace medlarrack::quota::detail {

/// Exponentially decaying estimate of the units per second that are asked for.
class asked_rate
{
public:
    void record(double units, core::monotonic_time now);
    [[nodiscard]] double perSecond(core::monotonic_time now) const;

private:
    double m_perSecond = 0;
    core::monotonic_time m_updatedAt{};
};

} // namespace medlarrack::quota::detail
