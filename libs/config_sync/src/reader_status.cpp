#include <medlarrack/config_sync/reader_status.hpp>

#include <nlohmann/json.hpp>

namespace medlarrack::config_sync {

namespace {

nlohmann::json ageMs(const std::optional<core::monotonic_time> &when, core::monotonic_time now)
{
    if (!when) {
        return nullptr;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *when).count();
}

} // namespace

nlohmann::json toJson(const reader_status &status, core::monotonic_time now)
{
    return {{"ready", status.ready},
            {"reads", status.isReader},
            {"newest_ticket", status.newestTicket},
            {"contiguous_ticket", status.contiguousTicket},
            {"changes_calls", status.changesCalls},
            {"instances_calls", status.instancesCalls},
            {"peer_calls", status.peerCalls},
            {"service_failures", status.serviceFailures},
            {"peer_failures", status.peerFailures},
            {"throttled", status.throttled},
            {"malformed_tickets", status.malformedTickets},
            {"changes_age_ms", ageMs(status.lastChanges, now)},
            {"instances_age_ms", ageMs(status.lastInstances, now)},
            {"peer_age_ms", ageMs(status.lastPeer, now)},
            {"last_error", status.lastError}};
}

} // namespace medlarrack::config_sync
