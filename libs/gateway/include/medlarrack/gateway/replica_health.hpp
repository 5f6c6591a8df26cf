#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstdint>

namespace medlarrack::gateway {

/// Outlier detection for one replica, based on the outcomes of the requests sent to it, as its status check may succeed
/// while its answers fail. A failing replica is ejected for a time that doubles each time it fails again after its
/// return. Not thread-safe.
class replica_health
{
public:
    /// Records a failure that is attributed to the replica. An unreachable replica is ejected at once, other failures
    /// eject it after several in a row.
    void recordFailure(bool unreachable, core::monotonic_time now);
    void recordSuccess(std::chrono::nanoseconds latency);
    /// Whether the replica may get a request now. After an ejection it gets one request at a time until one succeeds.
    [[nodiscard]] bool mayServe(std::uint32_t outstanding, core::monotonic_time now) const;
    [[nodiscard]] bool isEjected(core::monotonic_time now) const;
    /// Moving average of the time to an answer, or to the first event of a stream; zero before the first sample.
    [[nodiscard]] std::chrono::nanoseconds latency() const;
    /// Forgets all outcomes; called when the replica has restarted.
    void reset();

private:
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_ejections = 0;
    core::monotonic_time m_ejectedUntil{};
    bool m_onProbation = false;
    std::chrono::nanoseconds m_latency{0};
};

} // namespace medlarrack::gateway
