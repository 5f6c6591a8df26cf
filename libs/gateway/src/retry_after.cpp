#include <medlarrack/gateway/replica_choice.hpp>
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
constexpr milliseconds maxBacklogTime{1'500};
/// A replica has a free slot within this time.
constexpr milliseconds freeSlotTime{200};
/// Limits the time for queues at replicas, which learned durations of work may overestimate.
constexpr milliseconds maxQueueTime{2'000};

bool anyHoldsModel(const replica_table &table, std::string_view service)
{
    const auto replicas = table.findByService(service);
    return std::any_of(replicas.begin(), replicas.end(), [](const replica_ptr &candidate) {
        return candidate->agent && candidate->agent->engineUp && !candidate->agent->models.empty();
    });
}

/// Time until the engine with the shortest backlog has loaded one more adapter, by what the agents have learned.
milliseconds shortestBacklogTime(const replica_table &table, std::string_view service)
{
    std::optional<milliseconds> shortest;
    for (const replica_ptr &candidate : table.findByService(service)) {
        if (candidate->agent) {
            const milliseconds time = candidate->agent->loadInterval * candidate->agent->pendingLoads;
            shortest = std::min(shortest.value_or(time), time);
        }
    }
    return shortest.value_or(milliseconds(0));
}

/// Time until the first replica takes a request again if all otherwise usable ones are in a quiet period or have no
/// capacity left of the limit that they name; else not set.
std::optional<milliseconds> quietTime(const replica_table &table, std::string_view service, core::monotonic_time now)
{
    std::optional<std::chrono::nanoseconds> shortest;
    for (const replica_ptr &candidate : table.findByService(service)) {
        const bool unavailable = candidate->record.leaving || candidate->health.isEjected(now)
            || (candidate->agent && !candidate->agent->engineUp);
        const bool quiet = candidate->isQuiet(now);
        const std::chrono::nanoseconds toAdmission = candidate->requestLimit.timeToAdmission(now);
        if (!unavailable && !quiet && toAdmission.count() == 0) {
            return std::nullopt;
        }
        if ((quiet || toAdmission.count() > 0) && !candidate->record.leaving) {
            const auto remaining = quiet ? std::max(*candidate->quietUntil - now, toAdmission) : toAdmission;
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
        return std::min(maxBacklogTime, freeSlotTime + shortestBacklogTime(table, service));
    case refusal_cause::quiet:
        return quietTime(table, service, now).value_or(freeSlotTime);
    case refusal_cause::replicas_busy:
        return std::clamp(std::chrono::ceil<milliseconds>(timeToRoom(table, service, now)), freeSlotTime, maxQueueTime);
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
