#pragma once

#include <medlarrack/core/request_class.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <span>

namespace medlarrack::overload {

/// Estimates how long queued work waits, from the mean run time of each class. Knows nothing until a run of a class
/// has ended and then takes that class into account. Not thread-safe.
class service_estimate
{
public:
    /// Notes the run time of a finished request.
    void record(core::request_class priority, std::chrono::nanoseconds runTime);
    /// Mean run time of a class; zero when not known.
    [[nodiscard]] std::chrono::nanoseconds mean(core::request_class priority) const;
    /// Wait behind a number of queued requests of each class when `concurrency` run at once.
    [[nodiscard]] std::chrono::nanoseconds waitBehind(std::span<const std::size_t, 3> queuedPerClass,
                                                      std::size_t concurrency) const;

private:
    std::array<std::chrono::nanoseconds, 3> m_mean{};
};

} // namespace medlarrack::overload
