#pragma once

#include "call.hpp"

#include <medlarrack/core/outcome.hpp>
#include <medlarrack/metrics/registry.hpp>

#include <chrono>
#include <string_view>

namespace medlarrack::entry {

/// What is counted and timed of requests.
class run_metrics
{
public:
    explicit run_metrics(metrics::registry &registry);

    /// A request ended; the code is "ok" for answers.
    void ended(const call &request, std::string_view code, core::outcome outcome, core::monotonic_time now);
    /// A request was refused before it became a call.
    void refused(std::string_view code);
    void firstByte(const call &request, core::monotonic_time now);
    void loadStall(const call &request, std::chrono::microseconds stall);
    void retried(const call &request, std::string_view cause);
    void suspected(const call &request);
    /// A message that belongs to no attempt in progress was dropped.
    void dropped();

private:
    metrics::registry &m_registry;
};

} // namespace medlarrack::entry
