#include <medlarrack/gateway/replica.hpp>
#include <medlarrack/gateway/retry_after.hpp>
#include <medlarrack/suspects/suspect_table.hpp>

#include <algorithm>
#include <optional>

namespace medlarrack::gateway {

namespace {

using std::chrono::milliseconds;

/// A process that starts reads the published state within this.
constexpr milliseconds startTime{400};
/// Engines that lost their base model load it from their own disk within this.
constexpr milliseconds modelTime{1'000};
/// A replica that was left out is tried again after this.
constexpr milliseconds leftOutTime{500};
/// Time per adapter in a backlog: a store that carries 24 loads of 250 ms for 18 engines gives each 5 a second.
constexpr milliseconds loadTime{190};
constexpr milliseconds longestBacklogTime{1'500};
/// A place at a replica is free within this.
constexpr milliseconds placeTime{200};

bool anyHoldsModel(const replica_table &table, std::string_view service)
{
    const auto replicas = table.findByService(service);
    return std::any_of(replicas.begin(), replicas.end(), [](const replica_ptr &one) {
        return one->agent && one->agent->engineUp && !one->agent->models.empty();
    });
}

std::uint32_t shortestBacklog(const replica_table &table, std::string_view service)
{
    std::uint32_t shortest = 0;
    bool any = false;
    for (const replica_ptr &one : table.findByService(service)) {
        if (one->agent) {
            shortest = any ? std::min(shortest, one->agent->queuedLoads) : one->agent->queuedLoads;
            any = true;
        }
    }
    return shortest;
}

/// If all replicas that would take requests have asked for quiet, the time until the first of these ends.
std::optional<milliseconds> quietTime(const replica_table &table, std::string_view service, core::monotonic_time now)
{
    std::optional<std::chrono::nanoseconds> shortest;
    for (const replica_ptr &one : table.findByService(service)) {
        const bool closed = one->record.leaving || one->health.isEjected(now) || (one->agent && !one->agent->engineUp);
        if (!closed && !one->isQuiet(now)) {
            return std::nullopt;
        }
        if (one->isQuiet(now) && !one->record.leaving) {
            const auto left = *one->quietUntil - now;
            shortest = std::min(shortest.value_or(left), left);
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
        return startTime;
    case refusal_cause::no_replica:
        return anyHoldsModel(table, service) ? leftOutTime : modelTime;
    case refusal_cause::adapter_backlog:
        return std::min(longestBacklogTime, placeTime + loadTime * shortestBacklog(table, service));
    case refusal_cause::quiet:
        return quietTime(table, service, now).value_or(placeTime);
    case refusal_cause::rejected:
        break;
    }
    return placeTime;
}

} // namespace

std::chrono::milliseconds retryAfter(refusal_cause cause, const replica_table &table, std::string_view service,
                                     core::monotonic_time now, std::uint32_t random)
{
    const milliseconds expected = expectedTime(cause, table, service, now);
    // Spread over half of the time again; replicas that were quiet open over a second.
    const milliseconds spread = cause == refusal_cause::quiet ? std::max(rampUpTime, expected / 2) : expected / 2;
    return expected + milliseconds(random % (spread.count() + 1));
}

bool allAreQuiet(const replica_table &table, std::string_view service, core::monotonic_time now)
{
    return quietTime(table, service, now).has_value();
}

} // namespace medlarrack::gateway
