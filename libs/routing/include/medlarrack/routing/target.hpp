#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/instances/instance.hpp>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace medlarrack::routing {

/// A sidecar's load report on its target.
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

/// State of one target.
struct target
{
    instances::instance instance;
    std::uint64_t idHash = 0;
    /// Present in the instance list. An unlisted target is kept while attempts of this process are in progress there.
    bool listed = false;
    bool leaving = false;
    /// Runs in the data centre of this process.
    bool local = false;

    /// Attempts of this process in progress at the target.
    std::uint32_t outstanding = 0;
    /// How many of the outstanding attempts are of suspects.
    std::uint32_t suspects = 0;

    /// Whether report is current. Without a report, the load is estimated from outstanding alone.
    bool hasReport = false;
    /// The last report, with its adapters sorted.
    target_report report;
    core::monotonic_time reportedAt{};
    std::uint32_t sentSinceReport = 0;
    std::uint32_t endedSinceReport = 0;

    std::uint32_t consecutiveFailures = 0;
    core::monotonic_time backoffUntil{};
    /// Whether the target is subject to slow start, which began at slowStartedAt.
    bool slowStart = false;
    core::monotonic_time slowStartedAt{};

    /// Estimated number of requests running and queued: the report, adjusted for attempts sent and ended since, but at
    /// least the number of outstanding attempts.
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
