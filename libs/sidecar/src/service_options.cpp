#include "service_options.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/engine/http_engine_driver.hpp>
#include <medlarrack/engine/http_service_driver.hpp>

namespace medlarrack::sidecar::detail {
namespace {

/// Default concurrency of a plain service.
constexpr std::size_t serviceConcurrency = 64;

} // namespace

core::instance_ref makeSelf(const sidecar_settings &settings, const core::clock &clock)
{
    return {settings.instanceId, static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count())};
}

dispatcher_options makeOptions(const sidecar_settings &settings, const core::instance_ref &self)
{
    dispatcher_options options;
    options.self = self;
    options.isEngine = settings.isEngine();
    options.service = settings.isEngine() ? "" : settings.group;
    options.limits.queue = {settings.requests.maxQueued, settings.requests.maxQueuedPerOperator,
                            settings.requests.maxQueuedBytes};
    options.limits.slots.longestSlotWait = settings.adapters.longestSlotWait;
    options.limits.slots.firstBackoff = settings.adapters.firstBackoff;
    options.limits.slots.longestBackoff = settings.adapters.longestBackoff;
    options.limits.longestBackoffWait = settings.adapters.longestBackoffWait;
    if (settings.target.slots != 0) {
        options.limits.slots.slots = settings.target.slots;
    }
    if (!settings.isEngine()) {
        options.limits.concurrency = serviceConcurrency;
    }
    if (settings.target.concurrency != 0) {
        options.limits.concurrency = settings.target.concurrency;
    }
    options.adoptSlots = settings.target.slots == 0;
    options.adoptConcurrency = settings.target.concurrency == 0;
    options.maxBodyBytes = settings.requests.maxBodyBytes;
    options.maxBufferedBytes = settings.requests.maxBufferedBytes;
    options.pollInterval = settings.target.pollInterval;
    options.crashCheck = settings.target.crashCheck;
    options.shortestPause = settings.shortestPause;
    options.drainGrace = settings.drain.grace;
    options.seed = core::hash64(settings.instanceId);
    return options;
}

std::unique_ptr<engine::target_driver> makeDriver(const sidecar_settings &settings, http::client &client)
{
    if (settings.isEngine()) {
        return std::make_unique<engine::http_engine_driver>(client, settings.target.url);
    }
    return std::make_unique<engine::http_service_driver>(client, settings.target.url);
}

peer::server_limits peerLimits(const sidecar_settings &settings)
{
    peer::server_limits limits;
    limits.maxConnections = settings.peers.maxConnections;
    return limits;
}

http::server_limits adminLimits(const sidecar_settings &settings)
{
    http::server_limits limits;
    limits.maxConnections = settings.admin.maxConnections;
    limits.maxBodyBytes = 0;
    return limits;
}

} // namespace medlarrack::sidecar::detail
