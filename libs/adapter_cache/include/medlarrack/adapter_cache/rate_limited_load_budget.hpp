#pragma once

#include <medlarrack/adapter_cache/load_budget.hpp>
#include <medlarrack/overload/rate_limiter.hpp>

#include <cstddef>

namespace medlarrack::adapter_cache {

/// A fixed share of the weight store's capacity: a token bucket for load starts and a limit of concurrent loads.
class rate_limited_load_budget final : public load_budget
{
public:
    rate_limited_load_budget(double loadsPerSecond, double burst, std::size_t maxConcurrent, core::monotonic_time now);

    /// Changes the share.
    void configure(double loadsPerSecond, double burst, std::size_t maxConcurrent, core::monotonic_time now);

    [[nodiscard]] core::monotonic_time earliestStart(core::monotonic_time now) override;
    [[nodiscard]] bool tryStart(core::monotonic_time now) override;
    void loadEnded(core::monotonic_time now) override;

private:
    overload::rate_limiter m_rateLimiter;
    std::size_t m_maxConcurrent;
    std::size_t m_runningLoads = 0;
};

} // namespace medlarrack::adapter_cache
