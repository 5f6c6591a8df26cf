#pragma once

#include <chrono>
#include <functional>

namespace medlarrack::entry {

/// Serialises the steps of one request and provides its single timer.
class scheduler
{
public:
    scheduler() = default;
    scheduler(const scheduler &) = delete;
    scheduler &operator=(const scheduler &) = delete;
    virtual ~scheduler() = default;

    /// Queues a step. Steps run in order and never concurrently. Thread-safe.
    virtual void post(std::function<void()> step) = 0;
    /// Starts the timer, replacing a pending one. To be called from a step.
    virtual void startTimer(std::chrono::nanoseconds delay, std::function<void()> step) = 0;
    /// Cancels the timer. To be called from a step.
    virtual void cancelTimer() = 0;
};

} // namespace medlarrack::entry
