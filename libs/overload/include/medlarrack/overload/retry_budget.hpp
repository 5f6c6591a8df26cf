#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/overload/rate_limiter.hpp>

namespace medlarrack::overload {

/// Limits retries to a share of first attempts, so that retries can't multiply an overload. A small constant rate
/// lets a quiet process retry as well. Not thread-safe.
class retry_budget
{
public:
    /// Each first attempt earns `share` of a retry, up to `maxSaved`; besides `perSecond` retries are free.
    retry_budget(double share, double maxSaved, double perSecond, core::monotonic_time now);

    /// Counts a first attempt.
    void onFirstAttempt();
    /// Takes one retry; false when the budget is spent.
    [[nodiscard]] bool tryRetry(core::monotonic_time now);

private:
    double m_share;
    double m_maxSaved;
    double m_saved = 0;
    rate_limiter m_free;
};

} // namespace medlarrack::overload
