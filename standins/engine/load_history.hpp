#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <deque>
#include <string>
#include <utility>

namespace medlarrack::standins {

/// Past load reports, so that they can be shown with a lag.
class load_history
{
public:
    void add(std::string report, core::monotonic_time now);
    /// The newest report that is at least as old as the lag; the oldest when none is; empty before the first.
    [[nodiscard]] std::string show(std::chrono::milliseconds lag, core::monotonic_time now) const;

private:
    std::deque<std::pair<core::monotonic_time, std::string>> m_reports;
};

} // namespace medlarrack::standins
