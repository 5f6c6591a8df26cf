#pragma once

#include <medlarrack/adapter_cache/load_budget.hpp>
#include <medlarrack/overload/rate_limiter.hpp>

#include <cstddef>

namespace medlarrack::adapter_cache {

/// A fixed share of the store: loads a second with a burst, and loads at once.
class rate_limited_load_budget final : public load_budget
{
public:
    rate_limited_load_budget(double perSecond, double burst, std::size_t atOnce, core::monotonic_time now);

    /// Changes the share.
    void configure(double perSecond, double burst, std::size_t atOnce, core::monotonic_time now);

    [[nodiscard]] core::monotonic_time earliest(core::monotonic_time now) override;
    [[nodiscard]] bool tryStart(core::monotonic_time now) override;
    void ended(core::monotonic_time now) override;

private:
    overload::rate_limiter m_rate;
    std::size_t m_atOnce;
    std::size_t m_running = 0;
};

} // namespace medlarrack::adapter_cache
