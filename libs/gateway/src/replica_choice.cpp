#include "replica_usability.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/gateway/replica_choice.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <iterator>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarrack::gateway {

namespace {

/// Share of the prompt tokens below which long prompts get no preferred engines.
constexpr double minLongShare = 0.02;
/// Prefill wait of an engine from which a long prompt goes to another one: short prompts sent to it by processes that
/// don't know of its prompts yet would miss their limit of 500 ms.
constexpr std::chrono::milliseconds maxWaitOfLong{400};
/// Divisor of a long prompt's prefill time that is added where it would delay short ones.
constexpr int delayedPart = 2;
/// Largest random addition to an engine's expected time. Reports are 200 ms old: without it all processes choose the
/// same engine in that time.
constexpr std::chrono::milliseconds maxJitter{60};
/// Added for a short prompt at an engine that is preferred for long ones: reports are 200 ms old, and during about a
/// third of that time a long prompt of 300 ms is sent there.
constexpr std::chrono::milliseconds unreportedDelay{100};
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
/// Time by which a request that runs or waits at an engine delays the first event of another one: its steps, and its
/// part of a full batch.
constexpr std::chrono::milliseconds delayPerRequest{17};
/// Requests that an engine in another data centre counts for. As long as engines have capacity, the traffic of a remote
/// request costs more than the time that it gains.
constexpr std::uint32_t remoteLoadPenalty = 10;
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

void excludeUnfit(std::vector<replica_ptr> &engines, const choice_query &query)
{
    if (!query.mayRunAgain) {
        // Requests that may run again still use failing engines: while other engines are full, the capacity gained is
        // worth more than the second runs that it costs.
        excludeFailing(engines);
    }
    excludeSlow(engines);
}

/// Expected time until the first event of a request that is sent to the engine now, with a penalty for other data
/// centres.
std::chrono::nanoseconds expectedFirstEvent(const replica &engine, core::monotonic_time now)
{
    const std::uint32_t requests = engine.load() + (engine.local ? 0U : remoteLoadPenalty);
    return engine.prefillWait(now) + requests * std::chrono::nanoseconds(delayPerRequest);
}

/// What the choice between engines adds to the expected time by the size of the prompt. In each data centre, the first
/// engines by rendezvous hashing are preferred for long prompts, as many as their share of the prompt tokens. Processes
/// that see different shares differ in the last of these engines only.
class size_preference
{
public:
    size_preference(const replica_table &table, const choice_query &query, core::monotonic_time now)
        : m_tokens(query.promptTokens)
        , m_now(now)
    {
        if (query.sizes == nullptr || query.promptTokens == 0 || query.sizes->longShare() < minLongShare) {
            return;
        }
        m_isLong = query.sizes->isLong(query.promptTokens);
        m_salt = query.salt;
        const std::uint64_t key = core::hash64(query.service);
        std::map<std::string_view, std::vector<std::pair<std::uint64_t, const replica *>>> byDataCentre;
        for (const replica_ptr &engine : table.findByService(query.service)) {
            byDataCentre[engine->record.dataCentre].emplace_back(core::rendezvousWeight(key, engine->idHash),
                                                                 engine.get());
        }
        for (auto &[dataCentre, ranked] : byDataCentre) {
            const auto size = static_cast<double>(ranked.size());
            const auto count =
                static_cast<std::ptrdiff_t>(std::min(std::ceil(query.sizes->longShare() * size), std::floor(size / 2)));
            std::partial_sort(ranked.begin(), ranked.begin() + count, ranked.end(), std::greater<>());
            for (auto it = ranked.begin(); it != ranked.begin() + count; ++it) {
                m_preferred.push_back(it->second);
            }
        }
        std::sort(m_preferred.begin(), m_preferred.end(), std::less<>());
    }

    [[nodiscard]] bool isLong() const
    {
        return m_isLong;
    }

    /// What is added to the engine's expected time: a part at random, and the delay that the prompt would cause or
    /// meet.
    [[nodiscard]] std::chrono::nanoseconds addition(const replica &engine) const
    {
        return m_salt == 0 ? penalty(engine) : penalty(engine) + jitter(engine);
    }

    /// Whether the engine has enough to prefill for now, so that a long prompt goes elsewhere if it can.
    [[nodiscard]] bool isBusy(const replica &engine) const
    {
        return m_isLong && engine.prefillWait(m_now) > maxWaitOfLong;
    }

    [[nodiscard]] std::chrono::nanoseconds penalty(const replica &engine) const
    {
        if (m_preferred.empty()) {
            return {};
        }
        const bool preferred = std::binary_search(m_preferred.begin(), m_preferred.end(), &engine, std::less<>());
        if (m_isLong) {
            return preferred ? std::chrono::nanoseconds(0) : engine.prefill.timeFor(m_tokens) / delayedPart;
        }
        return preferred ? std::chrono::nanoseconds(unreportedDelay) : std::chrono::nanoseconds(0);
    }

private:
    [[nodiscard]] std::chrono::nanoseconds jitter(const replica &engine) const
    {
        constexpr std::uint64_t parts = 1'024;
        const auto part = static_cast<std::int64_t>(core::rendezvousWeight(m_salt, engine.idHash) % parts);
        return std::chrono::nanoseconds(maxJitter) * part / static_cast<std::int64_t>(parts);
    }

    std::uint64_t m_salt = 0;
    std::uint32_t m_tokens;
    core::monotonic_time m_now;
    bool m_isLong = false;
    /// In the order of their addresses; empty if long prompts are rare.
    std::vector<const replica *> m_preferred;
};

/// The engine with the shortest expected time to the first event, in view of the size of the prompt.
replica_ptr leastLoaded(const std::vector<replica_ptr> &engines, const size_preference &preference,
                        core::monotonic_time now)
{
    replica_ptr best;
    std::pair<bool, std::chrono::nanoseconds> bestCost;
    for (const replica_ptr &candidate : engines) {
        const std::pair cost(preference.isBusy(*candidate),
                             expectedFirstEvent(*candidate, now) + preference.addition(*candidate));
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
/// complete the load and to prefill what it was sent first; the highest rank breaks ties. What an engine prefills while
/// it loads delays nobody, so that only long prompts have an effect. Ranks are independent of load and homes are few,
/// so that all processes load an adapter at the same engines, also after a mass restart: engines that are expected to
/// be usable soon keep their ranks.
home_choice nextHome(const replica_table &table, const known_engines &engines, const choice_query &query,
                     const size_preference &preference, core::monotonic_time now)
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
        const auto prefilled = std::chrono::duration_cast<std::chrono::milliseconds>(it->engine->prefillWait(now));
        const auto ready = std::max(time, prefilled);
        // Short prompts are loaded for at all engines, as otherwise slots of those preferred for long ones stay unused.
        const auto misplaced = preference.isLong()
            ? std::chrono::duration_cast<std::chrono::milliseconds>(preference.penalty(*it->engine))
            : std::chrono::milliseconds(0);
        const std::pair rank(held ? ready : ready + misplaced + storeLoadTime(*it->engine) * storeLoadCost,
                             ~it->weight);
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
                        const choice_query &query, const size_preference &preference, core::monotonic_time now)
{
    std::vector<replica_ptr> candidates;
    if (!holder.local && query.demand >= localHomeMinDemand) {
        std::copy_if(engines.begin(), engines.end(), std::back_inserter(candidates), [](const replica_ptr &candidate) {
            return candidate->local && canStartLoad(*candidate);
        });
        return nextHome(table, {candidates, {}}, query, preference, now).engine;
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
    return nextHome(table, {candidates, {}}, query, preference, now).engine;
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
    excludeUnfit(engines, query);
    const size_preference preference(table, query, now);
    if (query.adapter.empty()) {
        return {.target = leastLoaded(engines, preference, now), .why = "least loaded"};
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
    if (const replica_ptr holder = leastLoaded(holders, preference, now);
        holder != nullptr && holder->load() < saturatedLoad) {
        replica_choice chosen{.target = holder, .why = "adapter loaded"};
        if (loading.empty()) {
            chosen.alsoLoadAt = furtherHome(table, engines, *holder, query, preference, now);
        }
        return chosen;
    }
    if (const replica_ptr next = leastLoaded(loading, preference, now);
        next != nullptr && next->load() < saturatedLoad) {
        return {.target = next, .needsLoad = true, .why = "adapter is being loaded"};
    }
    const home_choice home = nextHome(table, known, query, preference, now);
    if (const replica_ptr holder = leastLoaded(holders, preference, now); home.engine != nullptr && holder != nullptr
        && holder->load() < query.batchSize && !isInMemory(*home.engine, query.adapter)) {
        // Slots that are free in a moment cost less than a load from the weight store.
        return {.target = holder, .why = "adapter loaded, its engines nearly saturated"};
    }
    if (home.engine != nullptr) {
        return {.target = home.engine, .needsLoad = true, .why = "home of the adapter"};
    }
    if (const replica_ptr holder = leastLoaded(holders, preference, now); holder != nullptr) {
        return {.target = holder, .why = "adapter loaded, all its engines saturated"};
    }
    if (home.usableSoon) {
        return {.engineStarting = true, .why = "the homes of the adapter are about to load its base model"};
    }
    return {.saturated = true, .why = "all engines are crowded or have too many adapters to load"};
}

std::vector<expected_time> engineTimes(const replica_table &table, const choice_query &query, core::monotonic_time now)
{
    std::vector<replica_ptr> engines = enginesFor(table, query, now).usable;
    excludeUnfit(engines, query);
    const size_preference preference(table, query, now);
    std::vector<expected_time> times;
    for (const replica_ptr &one : engines) {
        times.push_back({one, expectedFirstEvent(*one, now) + preference.addition(*one)});
    }
    return times;
}

} // namespace medlarrack::gateway
