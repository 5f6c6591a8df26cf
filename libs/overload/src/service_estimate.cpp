#include <medlarrack/overload/service_estimate.hpp>

#include <algorithm>

namespace medlarrack::overload {
namespace {

/// Divisor of the exponential moving average: each new run time has a weight of 1/16.
constexpr int smoothingDivisor = 16;

std::size_t indexOf(core::request_class priority)
{
    return static_cast<std::size_t>(priority);
}

} // namespace

void service_estimate::record(core::request_class priority, std::chrono::nanoseconds runTime)
{
    auto &mean = m_mean.at(indexOf(priority));
    if (mean == std::chrono::nanoseconds::zero()) {
        mean = runTime;
        return;
    }
    mean += (runTime - mean) / smoothingDivisor;
}

std::chrono::nanoseconds service_estimate::mean(core::request_class priority) const
{
    return m_mean.at(indexOf(priority));
}

std::chrono::nanoseconds service_estimate::waitBehind(std::span<const std::size_t, 3> queuedPerClass,
                                                      std::size_t concurrency) const
{
    std::chrono::nanoseconds work{0};
    for (std::size_t i = 0; i < m_mean.size(); ++i) {
        work += m_mean[i] * static_cast<std::int64_t>(queuedPerClass[i]);
    }
    return work / static_cast<std::int64_t>(std::max<std::size_t>(concurrency, 1));
}

} // namespace medlarrack::overload
