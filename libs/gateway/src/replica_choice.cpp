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
/// Adapters waiting for a slot above which an engine is no home for a further one.
constexpr std::uint32_t maxBacklog = 10;
/// Time until an engine whose slots are all in use has one for the next adapter in line: it runs some 20 requests a
/// second of half a second each, of which several use one adapter.
constexpr std::chrono::milliseconds slotTime{150};
/// Time of a load from the weight store, and from the memory of an engine that has held the adapter.
constexpr std::chrono::milliseconds coldLoadTime{290};
constexpr std::chrono::milliseconds warmLoadTime{30};
/// Recent requests of this process for an adapter from which its data centre gets a home for it: a load costs about as
/// much as eight requests between data centres.
constexpr double localDemand = 5;
/// An engine whose first events take this many times as long as those of its peers gets requests last.
constexpr int slowFactor = 3;

bool wasTried(const choice_query &asked, const replica &one)
{
    return std::find(asked.tried.begin(), asked.tried.end(), one.record.id) != asked.tried.end();
}

bool isUsable(const replica &one, core::monotonic_time now)
{
    if (one.removed || one.record.leaving || !one.health.mayServe(one.outstanding, now)) {
        return false;
    }
    return !one.agent || one.agent->engineUp;
}

std::uint32_t currentLoad(const replica &one, core::monotonic_time now)
{
    return now - one.loadToldAt <= loadMemory ? one.load() : one.outstanding;
}

bool holdsModel(const replica &one, std::string_view model)
{
    const auto &models = one.agent ? one.agent->models : one.record.models;
    return model.empty() || std::find(models.begin(), models.end(), model) != models.end();
}

std::uint32_t demandAt(const replica &one, std::string_view adapter)
{
    const auto found = one.byAdapter.find(adapter);
    return found == one.byAdapter.end() ? 0 : found->second;
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

std::vector<replica_ptr> usableEngines(const replica_table &table, const choice_query &asked, core::monotonic_time now)
{
    std::vector<replica_ptr> usable;
    for (const replica_ptr &one : table.ofService(asked.service)) {
        if (isUsable(*one, now) && !wasTried(asked, *one) && holdsModel(*one, asked.model)) {
            usable.push_back(one);
        }
    }
    return usable;
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

/// The engine with the least load, where one of another data centre counts as having more.
replica_ptr leastLoaded(const std::vector<replica_ptr> &engines)
{
    replica_ptr best;
    double bestCost = 0;
    for (const replica_ptr &one : engines) {
        const double cost = one->load() + (one->local ? 0 : remoteLoad);
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
    const auto load = at.agent->recent.contains(adapter) ? warmLoadTime : coldLoadTime;
    return at.agent->room > 0 ? load : load + slotTime * (at.agent->wanted + 1);
}

/// The engine that is expected to hold the adapter first, of those that don't hold or expect it and have room; of
/// equal ones that of the highest rank. Ranks don't follow the load, so that all processes ask for an adapter at the
/// same engines, and these have it in memory the next time.
replica_ptr nextHome(const replica_table &table, const std::vector<replica_ptr> &engines, const choice_query &asked)
{
    const double crowded = crowdedShare * asked.batchSize;
    const std::uint64_t key = core::hash64(asked.adapter);
    replica_ptr best;
    std::pair<std::chrono::milliseconds, std::uint64_t> bestRank;
    for (const replica_ptr &one : engines) {
        const bool backlog = one->agent && one->agent->wanted >= maxBacklog;
        if (one->load() >= crowded || backlog || demandAt(*one, asked.adapter) > 0
            || holdsAdapter(table, *one, asked.adapter)) {
            continue;
        }
        const std::pair rank(expectedLoadTime(*one, asked.adapter), ~core::rendezvousWeight(key, one->idHash));
        if (best == nullptr || rank < bestRank) {
            best = one;
            bestRank = rank;
        }
    }
    return best;
}

bool hasRoom(const replica &one)
{
    return !one.agent || one.agent->room > 0;
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
        return nextHome(table, candidates, asked);
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
    return nextHome(table, candidates, asked);
}

} // namespace

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
    for (const replica_ptr &one : table.ofService(asked.service)) {
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
    std::vector<replica_ptr> engines = usableEngines(table, asked, now);
    if (engines.empty()) {
        return {.why = "no usable replica"};
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
    if (const replica_ptr home = nextHome(table, engines, asked); home != nullptr) {
        return {.target = home, .needsLoad = true, .why = "home of the adapter"};
    }
    if (const replica_ptr holder = leastLoaded(holders); holder != nullptr) {
        return {.target = holder, .why = "adapter loaded, all crowded"};
    }
    return {.crowded = true, .why = "all engines are crowded"};
}

} // namespace medlarrack::gateway
