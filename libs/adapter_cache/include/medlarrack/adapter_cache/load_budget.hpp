#pragma once

#include <medlarrack/core/clock.hpp>

namespace medlarrack::adapter_cache {

/// How many adapter loads this process may start: its part of the weight store's limits. Called under the lock of the
/// slot table's owner.
class load_budget
{
public:
    load_budget() = default;
    load_budget(const load_budget &) = delete;
    load_budget &operator=(const load_budget &) = delete;
    virtual ~load_budget() = default;

    /// When the next load may start, as far as is known: now or later.
    [[nodiscard]] virtual core::monotonic_time earliest(core::monotonic_time now) = 0;
    /// Takes the right to start one load; false when there is none.
    [[nodiscard]] virtual bool tryStart(core::monotonic_time now) = 0;
    /// A load that was started has ended, well or not.
    virtual void ended(core::monotonic_time now) = 0;
};

} // namespace medlarrack::adapter_cache
