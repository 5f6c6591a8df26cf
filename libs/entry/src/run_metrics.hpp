#pragma once

#include "call.hpp"

#include <medlarrack/core/outcome.hpp>
#include <medlarrack/metrics/registry.hpp>

#include <chrono>
#include <string_view>

namespace medlarrack::entry {

/// Metrics of requests.
class run_metrics
{
public:
    explicit run_metrics(metrics::registry &registry);

    /// Records the end of a request. The code is "ok" if it was answered by a target.
    void ended(const call &request, std::string_view code, core::outcome outcome, core::monotonic_time now);
    /// Records a request that was refused before it was parsed into a call.
    void refused(std::string_view code);
    void firstByte(const call &request, core::monotonic_time now);
    void loadStall(const call &request, std::chrono::microseconds stall);
    void retried(const call &request, std::string_view cause);
    void suspected(const call &request);
    /// Records a dropped message that belongs to no attempt in progress.
    void dropped();

private:
    metrics::registry &m_registry;
};

} // namespace medlarrack::entry
