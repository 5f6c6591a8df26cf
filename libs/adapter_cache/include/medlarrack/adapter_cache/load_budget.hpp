#pragma once

#include <medlarrack/core/clock.hpp>

namespace medlarrack::adapter_cache {

/// Limits the adapter loads that this process starts to its share of the weight store's limits. Called under the lock
/// of the slot table's owner.
class load_budget
{
public:
    load_budget() = default;
    load_budget(const load_budget &) = delete;
    load_budget &operator=(const load_budget &) = delete;
    virtual ~load_budget() = default;

    /// Estimated time at which the next load may start, not before `now`.
    [[nodiscard]] virtual core::monotonic_time earliestStart(core::monotonic_time now) = 0;
    /// Takes one load from the budget. Returns false if none may start now.
    [[nodiscard]] virtual bool tryStart(core::monotonic_time now) = 0;
    /// Returns a load that was started to the budget after it has succeeded or failed.
    virtual void loadEnded(core::monotonic_time now) = 0;
};

} // namespace medlarrack::adapter_cache
