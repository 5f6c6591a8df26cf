#pragma once

#include <medlarrack/catalog/replica_record.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/gateway/recent_adapters.hpp>
#include <medlarrack/gateway/replica_health.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarrack::gateway {

/// Failing requests of an engine, in hundredths, from which it counts as failing: some sound services fail 14.
inline constexpr std::uint32_t failingThresholdPercent = 25;

/// Slots of a replica that was quiet open evenly over this time.
inline constexpr std::chrono::milliseconds rampUpTime{1'000};

/// An engine that starts anew registers at once, and a change is read within this; later it may have kept its id.
inline constexpr std::chrono::milliseconds relistingTimeout{2'000};

/// How requests ended, as far as it speaks for or against a replica.
struct request_outcomes
{
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0;
};

/// What the agent beside an engine last said of it.
struct agent_status
{
    /// The engine answers its agent.
    bool engineUp = false;
    std::uint64_t startedAtMs = 0;
    std::vector<std::string> models;
    catalog::adapter_versions adapters;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Adapters asked for and not on their way yet.
    std::uint32_t queuedLoads = 0;
    core::monotonic_time updatedAt{};
    /// Further adapters whose loads the engine could begin at once; until its agent says it, any number.
    std::uint32_t startableLoads = std::numeric_limits<std::uint32_t>::max();
    /// As far as this process has seen the engine hold them.
    recent_adapters recentAdapters;
    /// Recent requests of all processes that failed there, in hundredths.
    std::uint32_t failingPercent = 0;
    /// Prompt tokens of other processes' requests that the engine has yet to read.
    std::uint64_t othersPendingPrefillTokens = 0;
    /// When this process learnt of the engine's start.
    core::monotonic_time startObservedAt{};
};

/// What is known of one replica.
struct replica
{
    catalog::replica_record record;
    std::uint64_t idHash = 0;
    /// In this process's data centre.
    bool local = false;
    /// Not in the instance list any more, or soon if the store was away when it vanished.
    bool removed = false;
    std::optional<core::monotonic_time> removalDue;
    /// It turned a request away and wanted none before this; nothing if it never did.
    std::optional<core::monotonic_time> quietUntil;
    /// When this process learnt of it.
    core::monotonic_time listedAt{};

    /// Nothing without a connection to the agent.
    std::optional<agent_status> agent;
    replica_health health;
    /// Of which the agent hasn't been told.
    request_outcomes unreportedOutcomes;

    /// Requests of this process in progress there.
    std::uint32_t outstanding = 0;
    /// Of those, by adapter; with those that wait for the adapter.
    std::map<std::string, std::uint32_t, std::less<>> requestsByAdapter;
    /// Prompt tokens of this process's requests there that have had no answer yet.
    std::uint64_t pendingPrefillTokens = 0;
    /// Requests of others there, as far as told.
    std::uint32_t othersLoad = 0;
    core::monotonic_time loadReportedAt{};

    /// Requests that run or wait there.
    [[nodiscard]] std::uint32_t load() const
    {
        return outstanding + othersLoad;
    }

    /// A request had an answer, or its first event, after this time.
    void recordSuccess(std::chrono::nanoseconds latency)
    {
        ++unreportedOutcomes.succeeded;
        health.recordSuccess(latency);
    }

    /// A request failed in a way that speaks against the replica.
    void recordFailure(bool unreachable, core::monotonic_time now)
    {
        ++unreportedOutcomes.failed;
        health.recordFailure(unreachable, now);
    }

    /// It turned a request away and wants nothing for a time. A later word never shortens an earlier one.
    void startQuietPeriod(std::chrono::milliseconds time, core::monotonic_time now)
    {
        quietUntil = std::max(quietUntil.value_or(now), now + time);
    }

    [[nodiscard]] bool isQuiet(core::monotonic_time now) const
    {
        return quietUntil && now < *quietUntil;
    }

    /// Whether work that comes back after a quiet time leaves room for one more request: its slots open evenly over a
    /// second, so that all that was held back doesn't arrive at once.
    [[nodiscard]] bool hasRampUpCapacity(core::monotonic_time now) const
    {
        if (!quietUntil) {
            return true;
        }
        const auto open = now - *quietUntil;
        return open >= rampUpTime || outstanding * rampUpTime <= open * std::max(1U, record.slots);
    }

    /// Whether its engine has started anew since it was listed. Mostly it has another id then, under which it is about
    /// to be listed, and turns away what is meant for this one.
    [[nodiscard]] bool awaitsRelisting(core::monotonic_time now) const
    {
        return agent && record.startedAtMs != 0 && agent->startedAtMs > record.startedAtMs
            && now - agent->startObservedAt < relistingTimeout;
    }

    /// Prompt tokens that the engine has yet to read: it reads prompts in turn, so that all first events wait for them.
    [[nodiscard]] std::uint64_t totalPendingPrefillTokens() const
    {
        return pendingPrefillTokens + (agent ? agent->othersPendingPrefillTokens : 0);
    }

    /// It turned a request away without saying its load: it is taken to be full, with a queue, as long as a told load
    /// counts. Otherwise its quick rejections would go on attracting requests.
    void assumeFull(core::monotonic_time now)
    {
        constexpr std::uint32_t queues = 2;
        setReportedLoad(std::max(load(), (1 + queues) * record.slots), now);
    }

    /// Takes a count of all requests running and waiting there.
    void setReportedLoad(std::uint32_t all, core::monotonic_time now)
    {
        othersLoad = all > outstanding ? all - outstanding : 0;
        loadReportedAt = now;
    }
};

} // namespace medlarrack::gateway
