#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstdint>

namespace medlarrack::gateway {

/// Whether a replica is to get requests, judged by what became of those sent there: its status check may be good while
/// its answers fail. A replica that fails is left out for a while that doubles with each failed return. Not
/// thread-safe.
class replica_health
{
public:
    /// A request failed in a way that speaks against the replica. A refused connection counts at once, other failures
    /// once several come in a row.
    void recordFailure(bool unreachable, core::monotonic_time now);
    void recordSuccess(std::chrono::nanoseconds latency);
    /// Whether the replica may get a request now. After its time out a replica gets one request at a time until one
    /// succeeds.
    [[nodiscard]] bool mayServe(std::uint32_t outstanding, core::monotonic_time now) const;
    [[nodiscard]] bool isEjected(core::monotonic_time now) const;
    /// Smoothed time to an answer, or to the first event of a stream; zero before the first one.
    [[nodiscard]] std::chrono::nanoseconds latency() const;
    /// The replica was started anew.
    void reset();

private:
    std::uint32_t m_failuresInRow = 0;
    std::uint32_t m_timesOut = 0;
    core::monotonic_time m_leftOutUntil{};
    bool m_onProbation = false;
    std::chrono::nanoseconds m_latency{0};
};

} // namespace medlarrack::gateway
