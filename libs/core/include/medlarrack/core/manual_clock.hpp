#pragma once

#include <medlarrack/core/clock.hpp>

#include <atomic>

namespace medlarrack::core {

/// A clock that moves only when told to. For tests and replays; safe to read from several threads.
class manual_clock final : public clock
{
public:
    manual_clock() = default;
    /// Starts the wall clock at the given time; monotonic time starts at zero.
    explicit manual_clock(wall_time start);

    [[nodiscard]] monotonic_time now() const override;
    [[nodiscard]] wall_time wallNow() const override;

    /// Moves both clocks forward.
    void advance(std::chrono::nanoseconds by);
    /// Moves the wall clock alone, as a clock adjustment does.
    void skewWall(std::chrono::milliseconds by);

private:
    std::atomic<std::chrono::nanoseconds::rep> m_elapsed{0};
    std::atomic<std::chrono::milliseconds::rep> m_wallOffset{0};
};

} // namespace medlarrack::core
