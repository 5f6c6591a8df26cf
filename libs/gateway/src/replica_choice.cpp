#include <medlarrack/core/hash.hpp>
#include <medlarrack/gateway/replica_choice.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>
#include <vector>

namespace medlarrack::gateway {

namespace {

/// Time that a request may gain elsewhere before it leaves its data centre: bytes between data centres are dear.
constexpr std::chrono::milliseconds remotePenalty{60};
/// Assumed time to an answer before the first one is known.
constexpr std::chrono::milliseconds assumedLatency{60};
/// Time for which a told load of others counts; a plain service's requests take about 60 ms.
constexpr std::chrono::milliseconds loadMemory{300};
/// An engine counts as crowded above this share of its batch: it prefills in turn, so that first events come late.
constexpr double crowdedShare = 0.75;
/// An adapter gets a further home if the least loaded engine that holds it runs this many requests and this many times
/// the mean: it prefills in turn, so that first events and long streams come late there while others have room.
constexpr std::uint32_t copyLoad = 12;
constexpr double copyLoadFactor = 1.25;
/// Recent requests of this process for the adapter from which a further home is worth its load.
constexpr double copyDemand = 2;
/// Requests by which an engine of another data centre counts as fuller: a request there costs more bytes than it gains
/// time, as long as the engines have room.
constexpr double remoteLoad = 10;
/// Unread prompt tokens that count as one more request: both users' busiest kind has 646, which an engine reads in 17
/// ms.
constexpr double tokensOfRequest = 650;
/// Adapters waiting for a slot above which an engine takes no further one: an engine that loads two at a time begins as
/// many loads in the 1.5 s for which requests are held. Other engines than the homes would only load what these load.
constexpr std::uint32_t maxBacklog = 10;
/// Engines at which an adapter is loaded first, in the order of their rank. At most times one of three has a free slot.
constexpr std::size_t homesOfAdapter = 3;
/// Time until an engine whose slots are all in use has one for the next adapter in line: it runs some 20 requests a
/// second of half a second each, of which several use one adapter.
constexpr std::chrono::milliseconds slotTime{150};
/// Time of a load from the weight store, and from the memory of an engine that has held the adapter.
constexpr std::chrono::milliseconds coldLoadTime{290};
constexpr std::chrono::milliseconds warmLoadTime{30};
/// Recent requests of this process for an adapter from which its data centre gets a home for it: a load costs its users
/// as much as 6 to 18 requests between data centres, and takes a slot from another adapter.
constexpr double localDemand = 15;
/// An agent is linked within this after its engine was listed: connecting times out after 400 ms.
constexpr std::chrono::milliseconds linkTime{500};
/// Up to this part of the engines is left out, one in so many.
constexpr std::size_t mostFailing = 3;
/// An engine whose first events take this many times as long as those of its peers gets requests last.
constexpr int slowFactor = 3;

bool wasTried(const choice_query &asked, const replica &one)
{
    return std::find(asked.tried.begin(), asked.tried.end(), one.record.id) != asked.tried.end();
}

bool isUsable(const replica &one, core::monotonic_time now)
{
    if (!acceptsRequests(one, now) || !one.hasRampUpCapacity(now) || !one.health.mayServe(one.outstanding, now)) {
        return false;
    }
    return !one.agent || (one.agent->engineUp && !one.awaitsRelisting(now));
}

std::uint32_t currentLoad(const replica &one, core::monotonic_time now)
{
    return now - one.loadReportedAt <= loadMemory ? one.load() : one.outstanding;
}

bool holdsModel(const replica &one, std::string_view model)
{
    const auto &models = one.agent ? one.agent->models : one.record.models;
    return model.empty() || std::find(models.begin(), models.end(), model) != models.end();
}

std::uint32_t demandAt(const replica &one, std::string_view adapter)
{
    const auto found = one.requestsByAdapter.find(adapter);
    return found == one.requestsByAdapter.end() ? 0 : found->second;
}

std::chrono::nanoseconds expectedTime(const replica &one, core::monotonic_time now)
{
    const auto latency =
        one.health.latency().count() == 0 ? std::chrono::nanoseconds(assumedLatency) : one.health.latency();
    const std::uint32_t slots = std::max(1U, one.record.slots);
    const std::uint32_t load = currentLoad(one, now);
    // A slot that is free serves at once; the fuller the replica, the sooner an unseen request takes the last one.
    const double waiting = load >= slots ? 1.0 + static_cast<double>(load - slots + 1) / slots
                                         : 1.0 + 0.3 * static_cast<double>(load) / slots;
    const auto time = std::chrono::nanoseconds(
        static_cast<std::chrono::nanoseconds::rep>(static_cast<double>(latency.count()) * waiting));
    return one.local ? time : time + remotePenalty;
}

/// Whether the engine has yet to tell what it holds: the instance list says what it held before its last start.
bool isUnknown(const replica &one, core::monotonic_time now)
{
    return !one.agent && now - one.listedAt < linkTime;
}

/// Whether the engine is about to be usable: its agent loads the model, or has not told yet, or its new start is about
/// to be listed.
bool isExpected(const replica &one, std::string_view model, core::monotonic_time now)
{
    if (!acceptsRequests(one, now)) {
        return false;
    }
    return isUnknown(one, now)
        || (one.agent && one.agent->engineUp && (!holdsModel(one, model) || one.awaitsRelisting(now)));
}

struct known_engines
{
    std::vector<replica_ptr> usable;
    /// About to be usable.
    std::vector<replica_ptr> expected;
};

known_engines enginesFor(const replica_table &table, const choice_query &asked, core::monotonic_time now)
{
    known_engines known;
    for (const replica_ptr &one : table.findByService(asked.service)) {
        if (wasTried(asked, *one)) {
            continue;
        }
        if (isExpected(*one, asked.model, now)) {
            known.expected.push_back(one);
        } else if (isUsable(*one, now) && holdsModel(*one, asked.model)) {
            known.usable.push_back(one);
        }
    }
    return known;
}

/// Leaves out engines that are much slower than the median, as long as others are left.
void dropSlow(std::vector<replica_ptr> &engines)
{
    if (engines.size() < 3) {
        return;
    }
    std::vector<std::chrono::nanoseconds> latencies;
    for (const replica_ptr &one : engines) {
        latencies.push_back(one->health.latency());
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    const auto bound = *middle * slowFactor;
    if (bound.count() == 0) {
        return;
    }
    // One request at a time still goes to a slow engine, so that its recovery shows.
    std::erase_if(engines, [bound](const replica_ptr &one) {
        return one->health.latency() > bound && one->outstanding > 0;
    });
}

/// Leaves out engines whose requests fail more often than is usual, by what all processes tell of them, unless many do:
/// then it isn't the engines, or there is no choice.
void dropFailing(std::vector<replica_ptr> &engines)
{
    const auto fails = [](const replica_ptr &one) {
        return one->agent && one->agent->failingPercent >= failingThresholdPercent;
    };
    const auto failing = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), fails));
    if (failing * mostFailing < engines.size()) {
        std::erase_if(engines, fails);
    }
}

/// The engine with the least load, where one of another data centre counts as having more.
replica_ptr leastLoaded(const std::vector<replica_ptr> &engines)
{
    replica_ptr best;
    double bestCost = 0;
    for (const replica_ptr &one : engines) {
        const double cost = one->load() + static_cast<double>(one->totalPendingPrefillTokens()) / tokensOfRequest
            + (one->local ? 0 : remoteLoad);
        if (best == nullptr || cost < bestCost) {
            best = one;
            bestCost = cost;
        }
    }
    return best;
}

/// When a load that is asked for now would be done, on average.
std::chrono::milliseconds expectedLoadTime(const replica &at, std::string_view adapter)
{
    if (!at.agent) {
        return coldLoadTime;
    }
    const auto load = at.agent->recentAdapters.contains(adapter) ? warmLoadTime : coldLoadTime;
    return at.agent->startableLoads > 0 ? load : load + slotTime * (at.agent->queuedLoads + 1);
}

bool mayBeHome(const replica_table &table, const replica &one, const choice_query &asked)
{
    return one.load() < crowdedShare * asked.batchSize && demandAt(one, asked.adapter) == 0
        && !holdsAdapter(table, one, asked.adapter);
}

struct home_choice
{
    /// Null if there is none that can load the adapter now.
    replica_ptr engine;
    /// No home can load the adapter now, but one is about to be usable.
    bool expected = false;
};

/// Where the adapter is to be loaded: of its homes and the engines that have held it before, the one that is expected
/// to hold it first; of equal ones that of the highest rank. Ranks don't follow the load and homes are few, so that all
/// processes ask for an adapter at the same engines, also after a mass restart: engines that are about to be usable
/// keep their ranks.
home_choice nextHome(const replica_table &table, const known_engines &engines, const choice_query &asked)
{
    struct candidate
    {
        std::uint64_t weight = 0;
        replica_ptr engine;
        bool expected = false;
    };
    std::vector<candidate> candidates;
    const std::uint64_t key = core::hash64(asked.adapter);
    for (const replica_ptr &one : engines.usable) {
        if (mayBeHome(table, *one, asked)) {
            candidates.push_back({core::rendezvousWeight(key, one->idHash), one, false});
        }
    }
    for (const replica_ptr &one : engines.expected) {
        candidates.push_back({core::rendezvousWeight(key, one->idHash), one, true});
    }
    const std::size_t homes = std::min(homesOfAdapter, candidates.size());
    const auto homesEnd = candidates.begin() + static_cast<std::ptrdiff_t>(homes);
    std::partial_sort(candidates.begin(), homesEnd, candidates.end(),
                      [](const candidate &left, const candidate &right) {
                          return left.weight > right.weight;
                      });
    home_choice best;
    std::pair<std::chrono::milliseconds, std::uint64_t> bestRank;
    for (auto one = candidates.begin(); one != candidates.end(); ++one) {
        const bool held = one->engine->agent && one->engine->agent->recentAdapters.contains(asked.adapter);
        const bool backlog = one->engine->agent && one->engine->agent->queuedLoads >= maxBacklog;
        if (one->expected || backlog || (one >= homesEnd && !held)) {
            continue;
        }
        const std::pair rank(expectedLoadTime(*one->engine, asked.adapter), ~one->weight);
        if (best.engine == nullptr || rank < bestRank) {
            best.engine = one->engine;
            bestRank = rank;
        }
    }
    best.expected = best.engine == nullptr && std::any_of(candidates.begin(), homesEnd, [](const candidate &one) {
                        return one.expected;
                    });
    return best;
}

bool hasRoom(const replica &one)
{
    return !one.agent || one.agent->startableLoads > 0;
}

/// A further home for an adapter that an engine holds; null if it isn't worth a load.
replica_ptr furtherHome(const replica_table &table, const std::vector<replica_ptr> &engines, const replica &holder,
                        const choice_query &asked)
{
    std::vector<replica_ptr> candidates;
    if (!holder.local && asked.demand >= localDemand) {
        std::copy_if(engines.begin(), engines.end(), std::back_inserter(candidates), [](const replica_ptr &one) {
            return one->local && hasRoom(*one);
        });
        return nextHome(table, {candidates, {}}, asked).engine;
    }
    if (asked.demand < copyDemand || holder.load() < copyLoad) {
        return nullptr;
    }
    double mean = 0;
    for (const replica_ptr &one : engines) {
        mean += static_cast<double>(one->load()) / static_cast<double>(engines.size());
    }
    if (holder.load() < copyLoadFactor * mean) {
        return nullptr;
    }
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(candidates), [mean](const replica_ptr &one) {
        return one->load() <= mean && hasRoom(*one);
    });
    return nextHome(table, {candidates, {}}, asked).engine;
}

} // namespace

bool acceptsRequests(const replica &one, core::monotonic_time now)
{
    return !one.removed && !one.record.leaving && !one.isQuiet(now);
}

bool holdsAdapter(const replica_table &table, const replica &at, std::string_view adapter)
{
    const auto &held = at.agent ? at.agent->adapters : at.record.adapters;
    const auto found = held.find(adapter);
    return found != held.end() && found->second >= table.newestVersion(adapter);
}

replica_choice choosePlain(const replica_table &table, const choice_query &asked, core::monotonic_time now)
{
    replica_choice chosen;
    std::chrono::nanoseconds best{0};
    for (const replica_ptr &one : table.findByService(asked.service)) {
        if (!isUsable(*one, now) || wasTried(asked, *one)) {
            continue;
        }
        const auto time = expectedTime(*one, now);
        if (chosen.target == nullptr || time < best) {
            chosen.target = one;
            best = time;
        }
    }
    chosen.why = chosen.target == nullptr ? "no usable replica" : "expected first";
    return chosen;
}

replica_choice chooseEngine(const replica_table &table, const choice_query &asked, core::monotonic_time now)
{
    known_engines known = enginesFor(table, asked, now);
    std::vector<replica_ptr> &engines = known.usable;
    if (engines.empty()) {
        return {.engineStarting = !known.expected.empty(), .why = "no usable replica"};
    }
    if (!asked.mayRunAgain) {
        // What may be sent once more uses them: a second run costs less than their slots are worth while others are
        // full.
        dropFailing(engines);
    }
    dropSlow(engines);
    if (asked.adapter.empty()) {
        return {.target = leastLoaded(engines), .why = "least loaded"};
    }
    std::vector<replica_ptr> holders;
    std::vector<replica_ptr> expecting;
    for (const replica_ptr &one : engines) {
        if (holdsAdapter(table, *one, asked.adapter)) {
            holders.push_back(one);
        } else if (demandAt(*one, asked.adapter) > 0) {
            expecting.push_back(one);
        }
    }
    const double crowded = crowdedShare * asked.batchSize;
    if (const replica_ptr holder = leastLoaded(holders); holder != nullptr && holder->load() < crowded) {
        replica_choice chosen{.target = holder, .why = "adapter loaded"};
        if (expecting.empty()) {
            chosen.alsoLoadAt = furtherHome(table, engines, *holder, asked);
        }
        return chosen;
    }
    if (const replica_ptr next = leastLoaded(expecting); next != nullptr && next->load() < crowded) {
        return {.target = next, .needsLoad = true, .why = "adapter on its way"};
    }
    const home_choice home = nextHome(table, known, asked);
    if (home.engine != nullptr) {
        return {.target = home.engine, .needsLoad = true, .why = "home of the adapter"};
    }
    if (const replica_ptr holder = leastLoaded(holders); holder != nullptr) {
        return {.target = holder, .why = "adapter loaded, all crowded"};
    }
    if (home.expected) {
        return {.engineStarting = true, .why = "the homes of the adapter are about to load its base model"};
    }
    return {.saturated = true, .why = "all engines are crowded or have too many adapters to load"};
}

} // namespace medlarrack::gateway
