#include "service_options.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/engine/http_engine_driver.hpp>
#include <medlarrack/engine/http_service_driver.hpp>
#include <medlarrack/http1/peer_connections.hpp>
#include <medlarrack/log/turned_away.hpp>
#include <medlarrack/peer/codec.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::sidecar::detail {
namespace {

/// Default concurrency of a plain service.
constexpr std::size_t serviceConcurrency = 64;
/// What one read of a connection adds to a request at most.
constexpr std::size_t requestStep = 65'536;
/// Part of the connections of peers that is for readers of pages.
constexpr std::size_t pageConnectionsDivisor = 6;

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

std::shared_ptr<overload::shared_byte_account> makeAccount(const sidecar_settings &settings, const core::clock &clock)
{
    const std::size_t limit =
        settings.peers.maxHeldBytes != 0 ? settings.peers.maxHeldBytes : settings.requests.maxQueuedBytes;
    return std::make_shared<overload::shared_byte_account>(limit, std::min(limit, peer::maxMessageBytes), requestStep,
                                                           clock, log::writeTurnedAway);
}

peer::server_limits peerLimits(const sidecar_settings &settings, std::shared_ptr<core::byte_budget> budget)
{
    const std::size_t connections = http1::maxPeerConnections();
    peer::server_limits limits;
    limits.maxConnections = std::min(settings.peers.maxConnections, connections - connections / pageConnectionsDivisor);
    limits.requestTimeout = settings.peers.requestTimeout;
    limits.budget = std::move(budget);
    return limits;
}

http::server_limits adminLimits(const sidecar_settings &settings, std::shared_ptr<core::byte_budget> budget)
{
    http::server_limits limits;
    limits.maxConnections = std::min(settings.admin.maxConnections,
                                     std::max<std::size_t>(http1::maxPeerConnections() / pageConnectionsDivisor, 1));
    limits.budget = std::move(budget);
    limits.maxBodyBytes = 0;
    return limits;
}

} // namespace medlarrack::sidecar::detail
