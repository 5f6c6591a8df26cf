#pragma once

#include <medlarrack/catalog/recent_adapters.hpp>
#include <medlarrack/catalog/replica_record.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/gateway/prefill_estimate.hpp>
#include <medlarrack/gateway/replica_health.hpp>
#include <medlarrack/gateway/replica_speed.hpp>
#include <medlarrack/gateway/request_limit.hpp>
#include <medlarrack/resumption/stream_origin.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarrack::gateway {

/// Percentage of failed requests from which an engine counts as failing: some healthy services fail 14%.
inline constexpr std::uint32_t failureThresholdPercent = 25;

/// After a quiet period a replica's slots become available linearly over this time.
inline constexpr std::chrono::milliseconds rampUpTime{1'000};

/// A restarted engine registers at once and changes of the instance list are read within this time. After it the engine
/// is assumed to have kept its id.
inline constexpr std::chrono::milliseconds relistingTimeout{2'000};

/// Counts of request outcomes that are attributed to a replica.
struct request_outcomes
{
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0;
};

/// Last status of an engine as reported by its agent.
struct agent_status
{
    /// Whether the engine answers its agent.
    bool engineUp = false;
    std::uint64_t startedAtMs = 0;
    std::vector<std::string> models;
    catalog::adapter_versions adapters;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Adapter loads that were requested and have not started yet.
    std::uint32_t pendingLoads = 0;
    core::monotonic_time updatedAt{};
    /// Further adapter loads that the engine could start at once; unlimited until its agent reports a number.
    std::uint32_t availableSlots = std::numeric_limits<std::uint32_t>::max();
    /// The same for loads from the engine's memory.
    std::uint32_t availableMemorySlots = std::numeric_limits<std::uint32_t>::max();
    /// As its agent tells, or as this process has seen the engine hold since.
    catalog::recent_adapters recentAdapters;
    /// Percentage of all processes' recent requests to the engine that failed.
    std::uint32_t failurePercent = 0;
    /// Gateways that are connected to its agent, this one included; 0 until the agent reports a number.
    std::uint32_t gatewayCount = 0;
    /// Prompt tokens of other processes' requests that the engine has yet to prefill.
    std::uint64_t othersPendingPrefillTokens = 0;
    /// When this process first saw this start of the engine.
    core::monotonic_time startObservedAt{};
    /// Times of adapter loads as the agent has learned them.
    std::chrono::milliseconds storeLoadTime{290};
    std::chrono::milliseconds memoryLoadTime{30};
    /// Between the starts of two loads while others wait.
    std::chrono::milliseconds loadInterval{150};
};

/// State of one replica as known to this process.
struct replica
{
    catalog::replica_record record;
    std::uint64_t idHash = 0;
    /// Of the streams that it begins, by its record.
    resumption::stream_origin origin = resumption::unknownOrigin;
    /// Whether it is in this process's data centre.
    bool local = false;
    /// Whether it is gone from the instance list.
    bool removed = false;
    /// End of the grace period of a replica that vanished from the list during an outage of the store.
    std::optional<core::monotonic_time> removalDue;
    /// End of the latest quiet period: the time that a replica gave as Retry-After when it rejected a request, during
    /// which it gets no others. Not set if it never gave one.
    std::optional<core::monotonic_time> quietUntil;
    /// The limit that its answers name.
    request_limit requestLimit;
    /// When this process first saw it in the instance list.
    core::monotonic_time listedAt{};

    /// Not set while there is no connection to the agent.
    std::optional<agent_status> agent;
    /// The newest start of the engine that its agent has told of, also if the connection is lost since.
    std::uint64_t newestStartMs = 0;
    replica_health health;
    replica_speed speed;
    /// The log says that it is slower than usual.
    bool loggedSlow = false;
    /// Outcomes not yet reported to the agent.
    request_outcomes unreportedOutcomes;

    /// This process's requests in progress there.
    std::uint32_t outstanding = 0;
    /// The outstanding requests by adapter, including those that wait for the adapter to be loaded.
    std::map<std::string, std::uint32_t, std::less<>> requestsByAdapter;
    /// Prompt tokens of this process's requests there that have no answer yet.
    std::uint64_t pendingPrefillTokens = 0;
    /// What is left of the pending prompts, and the rate at which the engine prefills them.
    prefill_estimate prefill;
    /// Requests of other processes there, by the latest reported load.
    std::uint32_t othersLoad = 0;
    core::monotonic_time loadReportedAt{};

    /// Requests running or waiting there.
    [[nodiscard]] std::uint32_t load() const
    {
        return outstanding + othersLoad;
    }

    /// Records a request that had its answer, or its first event, after the given time. `waiting` is the number of
    /// requests that wait there.
    void recordSuccess(std::chrono::nanoseconds latency, std::uint32_t waiting, core::monotonic_time now)
    {
        ++unreportedOutcomes.succeeded;
        health.recordSuccess(latency);
        speed.recordAnswer(latency, 1.0 + static_cast<double>(waiting) / std::max(1U, record.slots), now);
    }

    /// Records a failure that is attributed to the replica.
    void recordFailure(bool unreachable, core::monotonic_time now)
    {
        ++unreportedOutcomes.failed;
        health.recordFailure(unreachable, now);
    }

    /// Starts a quiet period with the Retry-After of a replica that rejected a request. Never shortens an earlier one.
    void startQuietPeriod(std::chrono::milliseconds duration, core::monotonic_time now)
    {
        quietUntil = std::max(quietUntil.value_or(now), now + duration);
    }

    [[nodiscard]] bool isQuiet(core::monotonic_time now) const
    {
        return quietUntil && now < *quietUntil;
    }

    /// Whether the ramp-up after a quiet period admits one more request. Slots become available linearly over
    /// rampUpTime, so that the requests held back don't arrive all at once.
    [[nodiscard]] bool hasRampUpCapacity(core::monotonic_time now) const
    {
        if (!quietUntil) {
            return true;
        }
        const auto sinceQuiet = now - *quietUntil;
        return sinceQuiet >= rampUpTime || outstanding * rampUpTime <= sinceQuiet * std::max(1U, record.slots);
    }

    /// Whether its engine has restarted since it was listed. A restarted engine usually has a new id, under which it
    /// will be listed shortly, and rejects requests addressed to the old one.
    [[nodiscard]] bool awaitsRelisting(core::monotonic_time now) const
    {
        return agent && record.startedAtMs != 0 && agent->startedAtMs > record.startedAtMs
            && now - agent->startObservedAt < relistingTimeout;
    }

    /// Whether its record describes the start that is running: the engine hasn't restarted since, as far as its agent
    /// knows, perhaps with another software version.
    [[nodiscard]] bool isRecordCurrent() const
    {
        const std::uint64_t newest = std::max(newestStartMs, agent ? agent->startedAtMs : 0);
        return record.startedAtMs == 0 || newest <= record.startedAtMs;
    }

    /// Prompt tokens that the engine has yet to prefill. Prompts are prefilled one after the other, so that the first
    /// events of all requests wait for them.
    [[nodiscard]] std::uint64_t totalPendingPrefillTokens() const
    {
        return pendingPrefillTokens + (agent ? agent->othersPendingPrefillTokens : 0);
    }

    /// Changes the count of this process's pending prompt tokens.
    void addPendingPrefillTokens(std::uint64_t tokens, core::monotonic_time now)
    {
        pendingPrefillTokens += tokens;
        prefill.recordPending(totalPendingPrefillTokens(), now);
    }

    void subtractPendingPrefillTokens(std::uint64_t tokens, core::monotonic_time now)
    {
        pendingPrefillTokens -= std::min(tokens, pendingPrefillTokens);
        prefill.recordPending(totalPendingPrefillTokens(), now);
    }

    /// Time until the engine has prefilled what it was sent.
    [[nodiscard]] std::chrono::nanoseconds prefillWait(core::monotonic_time now) const
    {
        return prefill.remainingTime(totalPendingPrefillTokens(), now);
    }

    /// Assumes a full replica with a queue after it rejected a request without reporting its load, for as long as a
    /// reported load counts. Otherwise its fast rejections would keep attracting requests.
    void assumeFull(core::monotonic_time now)
    {
        constexpr std::uint32_t queuedPerSlot = 2;
        setReportedLoad(std::max<std::uint64_t>(load(), (std::uint64_t{1} + queuedPerSlot) * record.slots), now);
    }

    /// Sets the load from a count of all requests that run or wait there, this process's included.
    void setReportedLoad(std::uint64_t total, core::monotonic_time now)
    {
        // Keeps the sum with this process's requests within its type.
        constexpr std::uint64_t maxLoad = 1'000'000'000;
        const auto bounded = static_cast<std::uint32_t>(std::min(total, maxLoad));
        othersLoad = bounded > outstanding ? bounded - outstanding : 0;
        loadReportedAt = now;
    }
};

} // namespace medlarrack::gateway
