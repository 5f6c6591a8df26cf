#pragma once

#include <medlarrack/core/request_class.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <span>

namespace medlarrack::overload {

/// Estimates the wait of queued requests from the mean run time of each class. Classes without a finished run count as
/// zero. Not thread-safe.
class service_estimate
{
public:
    /// Records the run time of a finished request.
    void record(core::request_class priority, std::chrono::nanoseconds runTime);
    /// Mean run time of a class; zero if not known.
    [[nodiscard]] std::chrono::nanoseconds mean(core::request_class priority) const;
    /// Expected wait behind the given number of queued requests per class if `concurrency` requests run at once.
    [[nodiscard]] std::chrono::nanoseconds waitBehind(std::span<const std::size_t, 3> queuedPerClass,
                                                      std::size_t concurrency) const;

private:
    std::array<std::chrono::nanoseconds, 3> m_mean{};
};

} // namespace medlarrack::overload
