#include <medlarrack/gateway/replica.hpp>
#include <medlarrack/gateway/retry_after.hpp>
#include <medlarrack/suspects/suspect_table.hpp>

#include <algorithm>
#include <optional>

namespace medlarrack::gateway {

namespace {

using std::chrono::milliseconds;

/// A starting process reads the published state within this time.
constexpr milliseconds stateReadTime{400};
/// Engines that lost their base model load it from their local disk within this time.
constexpr milliseconds modelLoadTime{1'000};
/// Time after which an ejected replica is tried again.
constexpr milliseconds ejectionTime{500};
/// Time per pending adapter load: a weight store that serves 24 concurrent loads of 250 ms to 18 engines gives each
/// about 5 per second.
constexpr milliseconds adapterLoadTime{190};
constexpr milliseconds maxBacklogTime{1'500};
/// A replica has a free slot within this time.
constexpr milliseconds freeSlotTime{200};

bool anyHoldsModel(const replica_table &table, std::string_view service)
{
    const auto replicas = table.findByService(service);
    return std::any_of(replicas.begin(), replicas.end(), [](const replica_ptr &candidate) {
        return candidate->agent && candidate->agent->engineUp && !candidate->agent->models.empty();
    });
}

std::uint32_t shortestBacklog(const replica_table &table, std::string_view service)
{
    std::uint32_t shortest = 0;
    bool any = false;
    for (const replica_ptr &candidate : table.findByService(service)) {
        if (candidate->agent) {
            shortest = any ? std::min(shortest, candidate->agent->pendingLoads) : candidate->agent->pendingLoads;
            any = true;
        }
    }
    return shortest;
}

/// Time until the first quiet period ends if all otherwise usable replicas are in one; else not set.
std::optional<milliseconds> quietTime(const replica_table &table, std::string_view service, core::monotonic_time now)
{
    std::optional<std::chrono::nanoseconds> shortest;
    for (const replica_ptr &candidate : table.findByService(service)) {
        const bool unavailable = candidate->record.leaving || candidate->health.isEjected(now)
            || (candidate->agent && !candidate->agent->engineUp);
        if (!unavailable && !candidate->isQuiet(now)) {
            return std::nullopt;
        }
        if (candidate->isQuiet(now) && !candidate->record.leaving) {
            const auto remaining = *candidate->quietUntil - now;
            shortest = std::min(shortest.value_or(remaining), remaining);
        }
    }
    return shortest ? std::optional(std::chrono::ceil<milliseconds>(*shortest)) : std::nullopt;
}

milliseconds expectedTime(refusal_cause cause, const replica_table &table, std::string_view service,
                          core::monotonic_time now)
{
    switch (cause) {
    case refusal_cause::crashes_replicas:
        return suspects::sharedLimits.fadeAfter;
    case refusal_cause::starting:
        return stateReadTime;
    case refusal_cause::no_replica:
        return anyHoldsModel(table, service) ? ejectionTime : modelLoadTime;
    case refusal_cause::adapter_backlog:
        return std::min(maxBacklogTime, freeSlotTime + adapterLoadTime * shortestBacklog(table, service));
    case refusal_cause::quiet:
        return quietTime(table, service, now).value_or(freeSlotTime);
    case refusal_cause::rejected:
        break;
    }
    return freeSlotTime;
}

} // namespace

std::chrono::milliseconds retryAfter(refusal_cause cause, const replica_table &table, std::string_view service,
                                     core::monotonic_time now, std::uint32_t random)
{
    const milliseconds expected = expectedTime(cause, table, service, now);
    // Jitter of up to half the expected time; after a quiet period at least the ramp-up time.
    const milliseconds jitter = cause == refusal_cause::quiet ? std::max(rampUpTime, expected / 2) : expected / 2;
    return expected + milliseconds(random % (jitter.count() + 1));
}

bool allAreQuiet(const replica_table &table, std::string_view service, core::monotonic_time now)
{
    return quietTime(table, service, now).has_value();
}

} // namespace medlarrack::gateway
