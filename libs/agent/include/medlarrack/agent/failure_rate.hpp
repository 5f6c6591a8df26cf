#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstdint>

namespace medlarrack::agent {

/// The exponentially decaying failure rate of an engine's requests, from the counts that all gateways report. Detects
/// an engine that reports a good status while its answers fail: with many gateways, each one sees about one request a
/// second, all of them together about twenty. Not thread-safe.
class failure_rate
{
public:
    /// Adds requests that have ended since the last call.
    void record(std::uint32_t succeeded, std::uint32_t failed, core::monotonic_time now);
    /// Clears the counts, unless the engine had also restarted shortly before: an engine that keeps crashing is likely
    /// to fail again.
    void onEngineRestart(core::monotonic_time now);
    /// From 0 to 1; 0 while there are too few recent requests.
    [[nodiscard]] double rate(core::monotonic_time now) const;

private:
    /// Fraction of the counts that is left since the last update.
    [[nodiscard]] double decayFactor(core::monotonic_time now) const;

    double m_succeeded = 0;
    double m_failed = 0;
    core::monotonic_time m_updatedAt{};
    core::monotonic_time m_restartedAt{std::chrono::hours(-1)};
};

} // namespace medlarrack::agent
