#pragma once

#include <chrono>
#include <functional>

namespace medlarrack::entry {

/// Runs the steps of one request one after the other, and its one timer.
class scheduler
{
public:
    scheduler() = default;
    scheduler(const scheduler &) = delete;
    scheduler &operator=(const scheduler &) = delete;
    virtual ~scheduler() = default;

    /// Runs a step later, in order, never at the same time as another step. Thread-safe.
    virtual void post(std::function<void()> step) = 0;
    /// Sets the timer, in place of its earlier setting. To be called from a step.
    virtual void wakeAfter(std::chrono::nanoseconds delay, std::function<void()> step) = 0;
    /// Stops the timer. To be called from a step.
    virtual void cancelWake() = 0;
};

} // namespace medlarrack::entry
