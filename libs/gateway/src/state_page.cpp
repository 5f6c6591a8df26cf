#include "state_page.hpp"

#include "json_page.hpp"
#include "milliseconds.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarrack::gateway {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;

/// An entry of a list, and by which it is compared with others.
struct ranked_entry
{
    double size = 0;
    json content;
};

/// Three decimals are enough to read.
double rounded(double value)
{
    constexpr double parts = 1'000;
    return std::round(value * parts) / parts;
}

double inMs(std::chrono::nanoseconds time)
{
    return rounded(std::chrono::duration<double, std::milli>(time).count());
}

/// Adds the largest entries of a list to the page, and the number of those left out.
void addList(json &page, const char *name, std::vector<ranked_entry> entries)
{
    std::stable_sort(entries.begin(), entries.end(), [](const ranked_entry &left, const ranked_entry &right) {
        return left.size > right.size;
    });
    json &list = page[name];
    list = json::array();
    for (std::size_t index = 0; index < std::min(entries.size(), maxStateEntries); ++index) {
        list.push_back(std::move(entries[index].content));
    }
    if (entries.size() > maxStateEntries) {
        page["leftOut"][name] = entries.size() - maxStateEntries;
    }
}

void addTenants(json &page, const state_sources &sources)
{
    std::map<std::string_view, ranked_entry> tenants;
    for (const auto &[name, outcomes] : sources.tenantCounts.all()) {
        auto &[size, shown] = tenants[name];
        shown["served"] = outcomes.served;
        size = static_cast<double>(outcomes.served);
        if (!outcomes.refused.empty()) {
            shown["refused"] = outcomes.refused;
        }
        for (const auto &[code, count] : outcomes.refused) {
            size += static_cast<double>(count);
        }
        if (!outcomes.failed.empty()) {
            shown["failed"] = outcomes.failed;
        }
    }
    for (const quota::tenant_usage &usage : sources.limiter.usage(sources.now)) {
        json &shown = tenants[usage.tenant].content;
        shown["usedUnits"] = rounded(usage.admittedUnits);
        shown["askedPerSecond"] = rounded(usage.askedPerSecond);
        shown["limitPerSecond"] = usage.limits.perSecond;
        shown["burst"] = usage.limits.burst;
        shown["share"] = rounded(usage.share);
        if (usage.level) {
            shown["left"] = rounded(*usage.level);
            shown["usedOfBurst"] = rounded(1 - *usage.level / usage.limits.burst);
        }
    }
    std::vector<ranked_entry> entries;
    for (auto &[name, entry] : tenants) {
        entry.content["tenant"] = name;
        entries.push_back(std::move(entry));
    }
    addList(page, "tenants", std::move(entries));
}

void addQueues(json &page, const state_sources &sources)
{
    std::vector<ranked_entry> entries;
    std::size_t waiting = 0;
    for (const service_queue &queue : sources.capacityWaiters.queues(sources.now)) {
        for (const queued_level &level : queue.levels) {
            if (level.requests == 0) {
                continue;
            }
            waiting += level.requests;
            entries.push_back({static_cast<double>(level.requests),
                               {{"service", queue.service},
                                {"rank", level.urgency},
                                {"requests", level.requests},
                                {"bytes", level.bytes},
                                {"oldestWaitMs", inMilliseconds(level.oldestWait)}}});
        }
    }
    page["queue"] = {{"enabled", sources.capacityWaiters.isEnabled()}, {"requests", waiting}};
    addList(page, "queued", std::move(entries));
}

ranked_entry describePlain(const replica &one, core::monotonic_time now)
{
    json shown{{"replica", one.record.id},
               {"service", one.record.service},
               {"slots", one.record.slots},
               {"load", one.load()},
               {"slowdown", rounded(one.speed.slowdown(now))}};
    const auto work = one.speed.workTime(now);
    if (work) {
        shown["workMs"] = inMs(*work);
        shown["usualWorkMs"] = inMs(*one.speed.usualTime());
        shown["heardMsAgo"] = inMilliseconds(one.speed.silence(now));
    }
    return {static_cast<double>(work.value_or(std::chrono::nanoseconds(0)).count()), std::move(shown)};
}

ranked_entry describeEngine(const replica &one, core::monotonic_time now)
{
    const std::chrono::nanoseconds wait = one.prefillWait(now);
    json shown{{"replica", one.record.id},
               {"service", one.record.service},
               {"load", one.load()},
               {"prefillTokensPerMs", rounded(one.prefill.tokensPerMs())},
               {"pendingPrefillTokens", one.totalPendingPrefillTokens()},
               {"prefillWaitMs", inMs(wait)},
               {"agentConnected", one.agent.has_value()}};
    return {static_cast<double>(wait.count()), std::move(shown)};
}

void addReplicas(json &page, const state_sources &sources)
{
    std::vector<ranked_entry> plain;
    std::vector<ranked_entry> engines;
    for (const auto &[id, one] : sources.replicas.all()) {
        const catalog::service *service = sources.routes.findService(one->record.service);
        if (one->agent || (service != nullptr && service->engine)) {
            engines.push_back(describeEngine(*one, sources.now));
        } else {
            plain.push_back(describePlain(*one, sources.now));
        }
    }
    addList(page, "plainReplicas", std::move(plain));
    addList(page, "engines", std::move(engines));
}

void addOwnLoad(json &page, const state_sources &sources)
{
    const own_load &load = sources.ownLoad;
    page["ownLoad"] = {{"cpuUse", rounded(load.cpuUse())},       {"loopLagMs", inMs(load.lag())},
                       {"linkUse", rounded(load.linkUse())},     {"memoryUse", rounded(load.memoryUse())},
                       {"shedShare", rounded(load.shedShare())}, {"descriptors", sources.descriptors.open}};
    if (sources.descriptors.limit > 0) {
        page["ownLoad"]["maxDescriptors"] = sources.descriptors.limit;
    }
    page["connections"] = {
        {"open", sources.callers.connections}, {"max", sources.callers.maxConnections}, {"busy", sources.callers.busy}};
    page["memory"] = {{"heldBytes", sources.heldBytes.heldBytes()},
                      {"maxHeldBytes", sources.heldBytes.limit()},
                      {"waitingMessages", sources.heldBytes.waiting()},
                      {"untakenBytes", sources.callers.untakenBytes}};
}

void addHolders(json &page, const state_sources &sources)
{
    std::map<std::string_view, std::size_t> bytes;
    for (const overload::holder_use &use : sources.heldBytes.holders()) {
        bytes[use.holder] += use.bytes;
    }
    for (const auto &[address, small] : sources.callers.smallBytesByAddress) {
        bytes[address] += small;
    }
    std::vector<ranked_entry> entries;
    for (const auto &[holder, held] : bytes) {
        if (held > 0) {
            entries.push_back({static_cast<double>(held), {{"holder", holder}, {"bytes", held}}});
        }
    }
    addList(page, "holders", std::move(entries));
}

} // namespace

http1::page describeState(const state_sources &sources)
{
    json page;
    page["stateVersion"] = sources.routes.version();
    addTenants(page, sources);
    addQueues(page, sources);
    addReplicas(page, sources);
    addOwnLoad(page, sources);
    addHolders(page, sources);
    return jsonPage(statusOk, page);
}

} // namespace medlarrack::gateway
