#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

namespace medlarrack::agent {

/// Limits the adapters that one engine fetches from the weight store at a time. All engines share the store, and beyond
/// its capacity every load takes longer in proportion. The limit follows the time of the engine's own loads, as
/// congestion control by delay does: it rises by steps while loads take the time of an idle store, and falls in
/// proportion when they take longer, so that agents share the store evenly without exchanging counts. A limit below one
/// is a pause between loads, of a random length, as engines that become empty together would otherwise load together
/// again and again. Does no I/O and reads no clock; not thread-safe.
class load_pacer
{
public:
    explicit load_pacer(std::uint32_t seed);

    /// Records a load that came from the weight store.
    void recordLoad(core::monotonic_time startedAt, core::monotonic_time endedAt);

    /// Whether another load may start beside those in progress.
    [[nodiscard]] bool mayStart(std::size_t inProgress, core::monotonic_time now) const;
    /// Loads that may run at a time; a fraction below one means pauses.
    [[nodiscard]] double limit() const;
    /// Time of a load while the store is idle.
    [[nodiscard]] std::chrono::nanoseconds idleLoadTime() const;
    /// Time that a load started now is expected to take: that of the last loads, or without any for a while that of an
    /// idle store.
    [[nodiscard]] std::chrono::nanoseconds loadTime(core::monotonic_time now) const;

private:
    /// Loads of the current period of the estimate.
    struct estimate_period
    {
        core::monotonic_time beganAt{};
        std::chrono::nanoseconds shortest{0};
        /// The estimate takes this one: a single load may look too short, as when the answer to its order came late.
        std::chrono::nanoseconds secondShortest{0};
        std::size_t loads = 0;
    };

    void updateIdleTime(std::chrono::nanoseconds time, core::monotonic_time now);

    double m_limit;
    /// Until a load was slowed down, the limit rises faster.
    bool m_wasCongested = false;
    std::chrono::nanoseconds m_loadTime;
    std::chrono::nanoseconds m_idleTime;
    bool m_isIdleTimeAssumed = true;
    estimate_period m_period;
    core::monotonic_time m_lastEnd{};
    std::mt19937 m_random;
    /// Random factor of the pause after the last load.
    double m_pauseFactor = 1;
    /// Loads that started before it ran under the limit of before the last reduction.
    core::monotonic_time m_reducedAt{};
};

} // namespace medlarrack::agent
