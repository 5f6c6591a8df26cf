#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace medlarrack::gateway {

/// Learned duration of one unit of work at a replica: its usual duration, from response times, and the current multiple
/// of it, from what the replica states. Averages are of logarithms, so that a rise and a fall by the same factor are
/// followed equally fast. Not thread-safe.
class replica_speed
{
public:
    /// Records the percentage of the usual duration that the replica states, 100 as usual.
    void recordPercent(std::uint32_t percent, core::monotonic_time now);
    /// Records the time to an answer. `waitFactor` is the answer's expected time, its wait included, as a multiple of
    /// the duration of work.
    void recordAnswer(std::chrono::nanoseconds time, double waitFactor, core::monotonic_time now);
    /// Current duration of work. The multiple of the usual duration fades while nothing is heard of the replica. Empty
    /// before the first answer.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> workTime(core::monotonic_time now) const;
    /// The same for a replica without an answer yet, whose usual duration is given.
    [[nodiscard]] std::chrono::nanoseconds workTime(std::chrono::nanoseconds prior, core::monotonic_time now) const;
    /// Usual duration of work, from answers. Empty before the first one.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> usualTime() const;
    /// Current multiple of the usual duration, 1 as usual.
    [[nodiscard]] double slowdown(core::monotonic_time now) const;
    /// Time since the replica was last heard of.
    [[nodiscard]] std::chrono::nanoseconds silence(core::monotonic_time now) const;
    /// Forgets all; called when the replica has restarted.
    void reset();

private:
    /// Logarithm of the usual duration in nanoseconds.
    std::optional<double> m_usual;
    /// Logarithm of the current multiple of the usual duration; empty if the replica has stated none.
    std::optional<double> m_slowdown;
    /// The multiple that was stated last.
    double m_lastStated = 0;
    core::monotonic_time m_heardAt{};
};

} // namespace medlarrack::gateway
