#include "replica_usability.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/gateway/replica_choice.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>
#include <vector>

namespace medlarrack::gateway {

namespace {

/// Fraction of its batch size from which an engine counts as saturated. Prompts are prefilled one after the other, so
/// that first events are delayed before the batch is full.
constexpr double saturationFraction = 0.75;
/// An adapter gets a further home if the least loaded engine that holds it has this many requests and this multiple of
/// the mean load: prompts are prefilled one after the other, so that first events and long streams are delayed there
/// while other engines have capacity.
constexpr std::uint32_t furtherHomeMinLoad = 12;
constexpr double furtherHomeLoadFactor = 1.25;
/// Demand of this process for an adapter from which a further home is worth the load.
constexpr double furtherHomeMinDemand = 2;
/// Requests added to the load of an engine in another data centre. As long as engines have capacity, the traffic of a
/// remote request costs more than the time that it gains.
constexpr double remoteLoadPenalty = 10;
/// Prompt tokens to prefill that count as one more request. The most frequent kind of request of both users has 646,
/// which an engine prefills in 17 ms.
constexpr double prefillTokensPerRequest = 650;
/// Highest-ranked engines that may load an adapter they haven't held before. Usually one of three has a free slot.
constexpr std::size_t homesPerAdapter = 3;
/// Multiple of the time of a load from the weight store that such a load costs besides: all engines share the store,
/// and while it is busy every load delays those that wait.
constexpr int storeLoadCost = 2;
/// Time of a load at an engine without an agent.
constexpr std::chrono::milliseconds assumedLoadTime{290};
/// Demand of this process for an adapter from which its data centre gets a home for it: a load costs as much as 6 to 18
/// requests between data centres, and takes a slot from another adapter.
constexpr double localHomeMinDemand = 15;
/// Time within which an agent is connected after its engine was listed; connection attempts time out after 400 ms.
constexpr std::chrono::milliseconds agentConnectTime{500};
/// Failing engines are excluded if they are fewer than one in this many.
constexpr std::size_t maxExcludedDivisor = 3;
/// An engine whose latency exceeds this multiple of the median is avoided.
constexpr int slowLatencyFactor = 3;

bool holdsModel(const replica &candidate, std::string_view model)
{
    const auto &models = candidate.agent ? candidate.agent->models : candidate.record.models;
    return model.empty() || std::find(models.begin(), models.end(), model) != models.end();
}

std::uint32_t outstandingFor(const replica &candidate, std::string_view adapter)
{
    const auto found = candidate.requestsByAdapter.find(adapter);
    return found == candidate.requestsByAdapter.end() ? 0 : found->second;
}

/// Whether the agent has yet to report what the engine holds: the instance list may describe the time before its last
/// start.
bool awaitsAgentStatus(const replica &candidate, core::monotonic_time now)
{
    return !candidate.agent && now - candidate.listedAt < agentConnectTime;
}

/// Whether the engine is expected to be usable soon: its agent is loading the model or hasn't reported yet, or it has
/// restarted and is about to be listed.
bool isUsableSoon(const replica &candidate, std::string_view model, core::monotonic_time now)
{
    if (!acceptsRequests(candidate, now)) {
        return false;
    }
    return awaitsAgentStatus(candidate, now)
        || (candidate.agent && candidate.agent->engineUp
            && (!holdsModel(candidate, model) || candidate.awaitsRelisting(now)));
}

/// Engines of a service that a request may use.
struct known_engines
{
    std::vector<replica_ptr> usable;
    /// Expected to be usable soon.
    std::vector<replica_ptr> usableSoon;
    /// One that isn't usable now may be so in time.
    bool hindered = false;
};

known_engines enginesFor(const replica_table &table, const choice_query &query, core::monotonic_time now)
{
    known_engines known;
    for (const replica_ptr &candidate : table.findByService(query.service)) {
        if (isExcluded(query, *candidate)) {
            continue;
        }
        if (isUsableSoon(*candidate, query.model, now)) {
            known.usableSoon.push_back(candidate);
        } else if (!holdsModel(*candidate, query.model)) {
            continue;
        } else if (isUsable(*candidate, now)) {
            known.usable.push_back(candidate);
        } else if (isUsableLater(query, *candidate, now)) {
            known.hindered = true;
        }
    }
    return known;
}

/// Excludes engines that are much slower than the median, unless they are idle.
void excludeSlow(std::vector<replica_ptr> &engines)
{
    if (engines.size() < 3) {
        return;
    }
    std::vector<std::chrono::nanoseconds> latencies;
    for (const replica_ptr &candidate : engines) {
        latencies.push_back(candidate->health.latency());
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    const auto bound = *middle * slowLatencyFactor;
    if (bound.count() == 0) {
        return;
    }
    // A slow engine still gets one request at a time, so that its recovery is noticed.
    std::erase_if(engines, [bound](const replica_ptr &candidate) {
        return candidate->health.latency() > bound && candidate->outstanding > 0;
    });
}

/// Excludes engines whose requests fail too often, by the reports of all processes. If many engines fail, none is
/// excluded: the cause is elsewhere, or there is no alternative.
void excludeFailing(std::vector<replica_ptr> &engines)
{
    const auto isFailing = [](const replica_ptr &candidate) {
        return candidate->agent && candidate->agent->failurePercent >= failureThresholdPercent;
    };
    const auto failing = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), isFailing));
    if (failing * maxExcludedDivisor < engines.size()) {
        std::erase_if(engines, isFailing);
    }
}

/// The engine with the least load, including prompt tokens to prefill and a penalty for other data centres.
replica_ptr leastLoaded(const std::vector<replica_ptr> &engines)
{
    replica_ptr best;
    double bestCost = 0;
    for (const replica_ptr &candidate : engines) {
        const double cost = candidate->load()
            + static_cast<double>(candidate->totalPendingPrefillTokens()) / prefillTokensPerRequest
            + (candidate->local ? 0 : remoteLoadPenalty);
        if (best == nullptr || cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;
}

/// Whether an engine can get the adapter as a further one: it isn't saturated, limits no requests, and neither holds
/// nor is loading it.
bool mayBeHome(const replica_table &table, const replica &candidate, const choice_query &query)
{
    return !candidate.requestLimit.perSecond() && candidate.load() < saturationFraction * query.batchSize
        && outstandingFor(candidate, query.adapter) == 0 && !holdsAdapter(table, candidate, query.adapter);
}

/// Whether the engine is expected to load the adapter without the weight store.
bool isInMemory(const replica &at, std::string_view adapter)
{
    return at.agent && at.agent->recentAdapters.contains(adapter);
}

std::chrono::milliseconds storeLoadTime(const replica &at)
{
    return at.agent ? at.agent->storeLoadTime : assumedLoadTime;
}

struct home_choice
{
    /// Null if no engine can load the adapter now.
    replica_ptr engine;
    /// No home can load the adapter now, but one is expected to be usable soon.
    bool usableSoon = false;
};

/// Chooses the engine to load the adapter: of its homes and the engines that have held it before, the one expected to
/// complete the load first; the highest rank breaks ties. Ranks are independent of load and homes are few, so that all
/// processes load an adapter at the same engines, also after a mass restart: engines that are expected to be usable
/// soon keep their ranks.
home_choice nextHome(const replica_table &table, const known_engines &engines, const choice_query &query)
{
    struct ranked_engine
    {
        std::uint64_t weight = 0;
        replica_ptr engine;
        bool usableSoon = false;
    };
    std::vector<ranked_engine> candidates;
    const std::uint64_t key = core::hash64(query.adapter);
    for (const replica_ptr &engine : engines.usable) {
        if (mayBeHome(table, *engine, query)) {
            candidates.push_back({core::rendezvousWeight(key, engine->idHash), engine, false});
        }
    }
    for (const replica_ptr &engine : engines.usableSoon) {
        candidates.push_back({core::rendezvousWeight(key, engine->idHash), engine, true});
    }
    const std::size_t homes = std::min(homesPerAdapter, candidates.size());
    const auto homesEnd = candidates.begin() + static_cast<std::ptrdiff_t>(homes);
    std::partial_sort(candidates.begin(), homesEnd, candidates.end(),
                      [](const ranked_engine &left, const ranked_engine &right) {
                          return left.weight > right.weight;
                      });
    home_choice best;
    std::pair<std::chrono::milliseconds, std::uint64_t> bestRank;
    for (auto it = candidates.begin(); it != candidates.end(); ++it) {
        const bool held = isInMemory(*it->engine, query.adapter);
        if (it->usableSoon || (it >= homesEnd && !held)) {
            continue;
        }
        const std::chrono::milliseconds time = expectedLoadTime(*it->engine, query.adapter);
        // Engines beyond the homes would only duplicate loads.
        if (time > query.maxLoadWait) {
            continue;
        }
        const std::pair rank(held ? time : time + storeLoadTime(*it->engine) * storeLoadCost, ~it->weight);
        if (best.engine == nullptr || rank < bestRank) {
            best.engine = it->engine;
            bestRank = rank;
        }
    }
    best.usableSoon =
        best.engine == nullptr && std::any_of(candidates.begin(), homesEnd, [](const ranked_engine &home) {
            return home.usableSoon;
        });
    return best;
}

bool canStartLoad(const replica &candidate)
{
    return !candidate.agent || candidate.agent->availableSlots > 0;
}

/// Chooses a further home for an adapter that an engine holds; null if it isn't worth the load.
replica_ptr furtherHome(const replica_table &table, const std::vector<replica_ptr> &engines, const replica &holder,
                        const choice_query &query)
{
    std::vector<replica_ptr> candidates;
    if (!holder.local && query.demand >= localHomeMinDemand) {
        std::copy_if(engines.begin(), engines.end(), std::back_inserter(candidates), [](const replica_ptr &candidate) {
            return candidate->local && canStartLoad(*candidate);
        });
        return nextHome(table, {candidates, {}}, query).engine;
    }
    if (query.demand < furtherHomeMinDemand || holder.load() < furtherHomeMinLoad) {
        return nullptr;
    }
    double mean = 0;
    for (const replica_ptr &candidate : engines) {
        mean += static_cast<double>(candidate->load()) / static_cast<double>(engines.size());
    }
    if (holder.load() < furtherHomeLoadFactor * mean) {
        return nullptr;
    }
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(candidates), [mean](const replica_ptr &candidate) {
        return candidate->load() <= mean && canStartLoad(*candidate);
    });
    return nextHome(table, {candidates, {}}, query).engine;
}

} // namespace

std::chrono::milliseconds expectedLoadTime(const replica &at, std::string_view adapter)
{
    if (!at.agent) {
        return assumedLoadTime;
    }
    const agent_status &agent = *at.agent;
    const bool inMemory = isInMemory(at, adapter);
    const auto load = inMemory ? agent.memoryLoadTime : agent.storeLoadTime;
    const std::uint32_t available = inMemory ? agent.availableMemorySlots : agent.availableSlots;
    return available > 0 ? load : load + agent.loadInterval * (agent.pendingLoads + 1);
}

bool acceptsRequests(const replica &candidate, core::monotonic_time now)
{
    return !candidate.removed && !candidate.record.leaving && !candidate.isQuiet(now);
}

bool mayResume(const replica &at, resumption::stream_origin origin)
{
    return at.origin == origin && at.isRecordCurrent();
}

bool holdsAdapter(const replica_table &table, const replica &at, std::string_view adapter)
{
    const auto &held = at.agent ? at.agent->adapters : at.record.adapters;
    const auto found = held.find(adapter);
    return found != held.end() && found->second >= table.newestVersion(adapter);
}

replica_choice chooseEngine(const replica_table &table, const choice_query &query, core::monotonic_time now)
{
    known_engines known = enginesFor(table, query, now);
    std::vector<replica_ptr> &engines = known.usable;
    if (engines.empty()) {
        return {.engineStarting = !known.usableSoon.empty(), .hindered = known.hindered, .why = "no usable replica"};
    }
    if (!query.mayRunAgain) {
        // Requests that may run again still use failing engines: while other engines are full, the capacity gained is
        // worth more than the second runs that it costs.
        excludeFailing(engines);
    }
    excludeSlow(engines);
    if (query.adapter.empty()) {
        return {.target = leastLoaded(engines), .why = "least loaded"};
    }
    std::vector<replica_ptr> holders;
    std::vector<replica_ptr> loading;
    for (const replica_ptr &candidate : engines) {
        if (holdsAdapter(table, *candidate, query.adapter)) {
            holders.push_back(candidate);
        } else if (outstandingFor(*candidate, query.adapter) > 0 && !candidate->requestLimit.perSecond()) {
            loading.push_back(candidate);
        }
    }
    const double saturatedLoad = saturationFraction * query.batchSize;
    if (const replica_ptr holder = leastLoaded(holders); holder != nullptr && holder->load() < saturatedLoad) {
        replica_choice chosen{.target = holder, .why = "adapter loaded"};
        if (loading.empty()) {
            chosen.alsoLoadAt = furtherHome(table, engines, *holder, query);
        }
        return chosen;
    }
    if (const replica_ptr next = leastLoaded(loading); next != nullptr && next->load() < saturatedLoad) {
        return {.target = next, .needsLoad = true, .why = "adapter is being loaded"};
    }
    const home_choice home = nextHome(table, known, query);
    if (const replica_ptr holder = leastLoaded(holders); home.engine != nullptr && holder != nullptr
        && holder->load() < query.batchSize && !isInMemory(*home.engine, query.adapter)) {
        // Slots that are free in a moment cost less than a load from the weight store.
        return {.target = holder, .why = "adapter loaded, its engines nearly saturated"};
    }
    if (home.engine != nullptr) {
        return {.target = home.engine, .needsLoad = true, .why = "home of the adapter"};
    }
    if (const replica_ptr holder = leastLoaded(holders); holder != nullptr) {
        return {.target = holder, .why = "adapter loaded, all its engines saturated"};
    }
    if (home.usableSoon) {
        return {.engineStarting = true, .why = "the homes of the adapter are about to load its base model"};
    }
    return {.saturated = true, .why = "all engines are crowded or have too many adapters to load"};
}

} // namespace medlarrack::gateway
