#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/instances/instance.hpp>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace medlarrack::routing {

/// What a sidecar reported of its target.
struct target_report
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t batchSize = 0;
    std::uint32_t slots = 0;
    /// Hashes of the adapters loaded or loading.
    std::vector<std::uint64_t> adapters;
};

/// What is known of one target.
struct target
{
    instances::instance instance;
    std::uint64_t idHash = 0;
    /// In the instance list; a target that isn't is kept while it has work from here.
    bool listed = false;
    bool leaving = false;
    /// In this process's data centre.
    bool local = false;

    /// Attempts of this process in progress there.
    std::uint32_t outstanding = 0;
    /// Of those, attempts of suspects.
    std::uint32_t suspects = 0;

    /// The last report; adapters sorted. Without one, load is what this process has outstanding.
    bool hasReport = false;
    target_report report;
    core::monotonic_time reportedAt{};
    std::uint32_t sentSinceReport = 0;
    std::uint32_t endedSinceReport = 0;

    /// Failures in a row.
    std::uint32_t consecutiveFailures = 0;
    core::monotonic_time backoffUntil{};
    /// Start of the slow start; only counts when slowStart is set.
    bool slowStart = false;
    core::monotonic_time slowStartedAt{};

    /// Estimated requests running and queued: the report corrected by what was sent and ended since, and never less
    /// than this process has outstanding.
    [[nodiscard]] std::uint32_t load() const
    {
        if (!hasReport) {
            return outstanding;
        }
        const std::uint32_t sum = report.running + report.queued + sentSinceReport;
        return std::max(outstanding, sum - std::min(sum, endedSinceReport));
    }
};

} // namespace medlarrack::routing
