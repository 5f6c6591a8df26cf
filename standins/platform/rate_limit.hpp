#pragma once

#include <medlarrack/core/clock.hpp>

namespace medlarrack::standins {

/// A token bucket that holds at most one second's worth, but at least one.
class rate_limit
{
public:
    /// A rate of zero or less lets everything pass.
    void setRate(double perSecond);
    [[nodiscard]] bool take(core::monotonic_time now);

private:
    double m_perSecond = 0;
    double m_tokens = 0;
    bool m_started = false;
    core::monotonic_time m_last{};
};

} // namespace medlarrack::standins
