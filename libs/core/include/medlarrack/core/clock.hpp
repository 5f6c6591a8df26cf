#pragma once

#include <chrono>

namespace medlarrack::core {

/// Monotonic time that also counts while the machine is suspended (CLOCK_BOOTTIME), so that a paused process notices
/// its pause.
struct monotonic_time_base
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_time_base, duration>;
    static constexpr bool is_steady = true;
};

/// A point of monotonic time; comparable within one process only.
using monotonic_time = monotonic_time_base::time_point;

/// A point of wall-clock time; comparable between processes up to the bounded clock skew.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Source of time. Passed in wherever time is read, so that tests can drive it by hand.
class clock
{
public:
    clock() = default;
    clock(const clock &) = delete;
    clock &operator=(const clock &) = delete;
    virtual ~clock() = default;

    /// Current monotonic time.
    [[nodiscard]] virtual monotonic_time now() const = 0;
    /// Current wall-clock time.
    [[nodiscard]] virtual wall_time wallNow() const = 0;
};

} // namespace medlarrack::core
