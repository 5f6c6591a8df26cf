#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstdint>
#include <deque>

namespace medlarrack::overload {

/// Limits retries to a share of the first attempts of the same window, so that retries can't multiply an overload. Each
/// window ends now: nothing is saved up beyond it, so that what several processes may send adds up to the same share of
/// what they all got. A burst of losses may use all of a window's share at once. Not thread-safe.
class retry_budget
{
public:
    /// In any window, retries are at most this share of the first attempts and `beside` more.
    retry_budget(double share, std::uint32_t beside, std::chrono::nanoseconds window);

    /// Counts a first attempt.
    void onFirstAttempt(core::monotonic_time now);
    /// Takes one retry; false when the budget is spent.
    [[nodiscard]] bool tryRetry(core::monotonic_time now);

private:
    struct slice
    {
        core::monotonic_time start{};
        std::uint32_t firstAttempts = 0;
        std::uint32_t retries = 0;
    };

    slice &sliceAt(core::monotonic_time now);

    double m_share;
    double m_beside;
    std::chrono::nanoseconds m_window;
    /// Of the last window and one slice more, the newest last.
    std::deque<slice> m_slices;
};

} // namespace medlarrack::overload
