#include "caller_server.hpp"
#include "http_run_stopper.hpp"
#include "milliseconds.hpp"
#include "process_use.hpp"
#include "route_page.hpp"
#include "state_page.hpp"
#include "store_reader.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/gateway/drain_schedule.hpp>
#include <medlarrack/gateway/gateway_service.hpp>
#include <medlarrack/gateway/replica_choice.hpp>
#include <medlarrack/http1/call_client.hpp>
#include <medlarrack/http1/page_server.hpp>
#include <medlarrack/log/log.hpp>

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace medlarrack::gateway {

namespace {

using std::chrono::milliseconds;

/// Interval for checking deadlines, sending updates to agents and flushing the log. Half of the shortest bound: changes
/// of use are reported to agents within 50 ms.
constexpr milliseconds tickInterval{25};
/// Interval for closing expired idle connections; short compared to their idle times of seconds.
constexpr milliseconds idleConnectionCheckInterval{500};
/// Interval for reading the use of processor and memory, which takes system calls.
constexpr milliseconds useReadingInterval{250};
/// Poll interval of the store in percent of the change bound: leaves time to repeat one failed call within the bound.
constexpr int pollIntervalPercent = 38;
/// Replicas whose entries expired in an outage of the store are listed again within about two seconds of its return.
constexpr milliseconds removalGrace{2'200};
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr int statusNotFound = 404;

/// Room for the longest message of a peer, whichever kind it is.
std::size_t largestHolding(const gateway_settings &settings, const catalog::request_limits &limits)
{
    return std::max(kilobytes(settings.responseBounds.maxBodyKb), limits.maxBodyBytes);
}

} // namespace

class gateway_service::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context &owner, const gateway_settings &given, const caller_format &callerFormat,
         const catalog::store_format &storeFormat, const core::clock &time)
        : context(owner)
        , settings(given)
        , format(callerFormat)
        , clock(time)
        , replicas(given.dataCentre)
        , connections(owner, time)
        , agents(owner, time, given.name, given.agentPort, replicas, routes, crashDetector, streams, tenantLimiter,
                 [this](const replica_ptr &changed) {
                     const core::monotonic_time now = clock.now();
                     if (changed->awaitsRelisting(now)) {
                         store.refreshSoon();
                     }
                     waiters.engineChanged(replicas, *changed, now);
                 })
        , runStopper(owner, callerFormat)
        , random(static_cast<std::minstd_rand::result_type>(time.wallNow().time_since_epoch().count()))
        , heldBytes(maxHeldBytes(given), largestHolding(given, routes.limits()), http1::byte_stream::readBytes)
        , ownLoad(ownLimits(given))
        , services{time,
                   callerFormat,
                   routes,
                   replicas,
                   connections,
                   agents,
                   waiters,
                   demand,
                   callerRetryDetector,
                   streams,
                   crashDetector,
                   metrics,
                   settings.responseBounds,
                   [this](std::string_view service) -> overload::retry_budget & {
                       return retryBudgetFor(service);
                   },
                   [this] {
                       return store.age();
                   },
                   [this] {
                       store.refreshSoon();
                   },
                   random,
                   runStopper,
                   heldBytes,
                   settings.keyPolicy,
                   tenantLimiter,
                   ownLoad,
                   promptSizes,
                   capacityWaiters,
                   tenantCounts}
        , store(owner, http1::parseEndpoint(given.store).value_or(asio::ip::tcp::endpoint()), storeFormat, time,
                given.changeBound * pollIntervalPercent / 100, kilobytes(given.maxStoreAnswerKb),
                [this](const store_update &update) {
                    applyUpdate(update);
                })
        , callerServer(owner, services)
        , adminServer(owner,
                      [this](std::string_view target) {
                          return serveAdminPage(target);
                      })
        , tickTimer(owner)
    {
        capacityWaiters.setEnabled(given.queueRequests);
    }

    bool start(core::reason &why)
    {
        const auto callersAt = http1::parseEndpoint(settings.callers);
        const auto adminAt = http1::parseEndpoint(settings.admin);
        if (!callersAt || !adminAt) {
            why = {"bad_address", "callers or admin address is not an IPv4 address with a port"};
            return false;
        }
        if (!callerServer.listen(*callersAt, why) || !adminServer.listen(*adminAt, why)) {
            return false;
        }
        callerServer.setMaxConnections(maxCallerConnections(settings));
        store.start();
        tick();
        return true;
    }

    overload::retry_budget &retryBudgetFor(std::string_view service)
    {
        const auto found = retryBudgets.find(service);
        if (found != retryBudgets.end()) {
            return found->second;
        }
        return retryBudgets.emplace(std::string(service), makeRetryBudget(settings)).first->second;
    }

    void applyUpdate(const store_update &update)
    {
        const core::monotonic_time now = clock.now();
        const milliseconds grace = update.afterOutage ? removalGrace : milliseconds(0);
        for (catalog::store_change &change : update.changes) {
            std::visit(
                [&](auto &body) {
                    applyChange(body, grace, now);
                },
                change);
        }
        if (update.allReplicas) {
            const std::size_t missing = replicas.removeUnlisted(*update.allReplicas, grace, now);
            if (missing > 0) {
                log::write(log::level::info, "replicas missing from the list",
                           {{"replicas", static_cast<std::uint64_t>(missing)},
                            {"grace_ms", grace.count()},
                            {"revision", update.revision}});
            }
        }
        waiters.notifyRemoved(replicas);
    }

    void applyChange(catalog::published_state &state, milliseconds, core::monotonic_time)
    {
        const std::uint64_t version = state.version;
        if (routes.update(std::move(state))) {
            heldBytes.setLimits(maxHeldBytes(settings), largestHolding(settings, routes.limits()));
            log::write(log::level::info, "published state taken",
                       {{"state_version", version}, {"revision", store.revision()}});
        }
    }

    void applyChange(catalog::replica_record &record, milliseconds, core::monotonic_time now)
    {
        const replica_ptr known = replicas.find(record.id);
        const bool wasLeaving = known != nullptr && known->record.leaving;
        const std::string id = record.id;
        if (!replicas.update(std::move(record), now)) {
            return;
        }
        const replica_ptr listed = replicas.find(id);
        if (known == nullptr || wasLeaving != listed->record.leaving) {
            log::write(log::level::info, "replica listed",
                       {{"replica", id},
                        {"service", listed->record.service},
                        {"address", listed->record.address + ":" + std::to_string(listed->record.port)},
                        {"software_version", listed->record.softwareVersion},
                        {"leaving", listed->record.leaving},
                        {"sequence", listed->record.sequence},
                        {"revision", store.revision()}});
        }
    }

    void applyChange(catalog::replica_removal &removal, milliseconds grace, core::monotonic_time now)
    {
        log::write(log::level::info, "replica not listed any more",
                   {{"replica", removal.id}, {"grace_ms", grace.count()}, {"revision", store.revision()}});
        replicas.remove(removal.id, grace, now);
    }

    void applyChange(catalog::adapter_release &release, milliseconds, core::monotonic_time)
    {
        if (replicas.updateVersion(release.adapter, release.version)) {
            log::write(log::level::info, "adapter version published",
                       {{"adapter", release.adapter}, {"version", release.version}});
        }
    }

    void applyChange(catalog::unreadable_record &record, milliseconds, core::monotonic_time)
    {
        log::write(log::level::warning, "record not read", {{"key", record.key}, {"why", record.why}});
        if (record.replicaId) {
            replicas.forget(*record.replicaId);
        }
    }

    void tick()
    {
        const core::monotonic_time now = clock.now();
        lastTickAt = now;
        updateOwnLoad(now);
        replicas.removeExpired(now);
        callerServer.tick(now);
        agents.tick();
        settleLostRuns(now);
        if (now >= nextIdleConnectionCheck) {
            nextIdleConnectionCheck = now + idleConnectionCheckInterval;
            connections.closeExpired();
        }
        log::flush();
        if (drainSchedule && continueDrain(now)) {
            log::write(log::level::info, "stopped", {{"unanswered", static_cast<std::uint64_t>(callerServer.busy())}});
            log::flush();
            std::exchange(onDrainComplete, nullptr)();
            return;
        }
        tickTimer.expires_after(tickInterval);
        tickTimer.async_wait([weak = weak_from_this()](const std::error_code &error) {
            // Cancelling the timer doesn't stop a handler that is already queued.
            if (const auto self = weak.lock(); self != nullptr && !error) {
                self->tick();
            }
        });
    }

    void updateOwnLoad(core::monotonic_time now)
    {
        const bool wasShedding = ownLoad.shedShare() > 0;
        if (now >= nextUseReading) {
            nextUseReading = now + useReadingInterval;
            processUse = readProcessUse();
        }
        ownLoad.recordTick(now, tickInterval, processUse);
        const bool isShedding = ownLoad.shedShare() > 0;
        if (isShedding != wasShedding) {
            constexpr double percent = 100;
            log::write(isShedding ? log::level::warning : log::level::info,
                       isShedding ? "overloaded, requests are shed" : "overload has ended",
                       {{"lag_ms", inMilliseconds(ownLoad.lag())},
                        {"cpu_percent", static_cast<std::uint64_t>(ownLoad.cpuUse() * percent)},
                        {"link_percent", static_cast<std::uint64_t>(ownLoad.linkUse() * percent)},
                        {"memory_percent", static_cast<std::uint64_t>(ownLoad.memoryUse() * percent)},
                        {"busy", static_cast<std::uint64_t>(callerServer.busy())}});
        }
    }

    void settleLostRuns(core::monotonic_time now)
    {
        crashDetector.resolveOverdueRuns(now, [this](const core::instance_ref &target) {
            return isAlive(target);
        });
        for (const suspects::confirmed_crash &crash : crashDetector.takeConfirmedCrashes()) {
            log::write(log::level::info, "run crashed its replica",
                       {{"fingerprint", crash.fingerprint},
                        {"of", crash.isPart ? "part" : "request"},
                        {"replica", crash.target},
                        {"ran_ms", inMilliseconds(crash.runTime)},
                        {"why", crash.evidence},
                        {"crashes", static_cast<std::uint64_t>(crash.crashCount)}});
        }
        agents.reportCrashes(crashDetector.takeNews(now));
    }

    /// Whether a replica is known to run as the given incarnation; only agents report it. Empty if that is unknown.
    [[nodiscard]] std::optional<bool> isAlive(const core::instance_ref &target) const
    {
        const replica_ptr known = replicas.find(target.id);
        // An agent that has just started does not know the start time of its engine yet.
        if (known == nullptr || !known->agent || known->agent->startedAtMs == 0) {
            return std::nullopt;
        }
        return known->agent->engineUp && known->agent->startedAtMs == target.incarnation;
    }

    void drain(std::function<void()> onDone)
    {
        // The signal may have been sent at any time since the last tick if the process stood still.
        drainSchedule.emplace(std::min(clock.now(), lastTickAt + tickInterval), settings.gracePeriod);
        onDrainComplete = std::move(onDone);
        callerServer.drain();
        callerServer.refuseRequestsFrom(drainSchedule->end());
        log::write(log::level::info, "stopping", {{"busy", static_cast<std::uint64_t>(callerServer.busy())}});
    }

    /// Returns whether the process may end.
    bool continueDrain(core::monotonic_time now)
    {
        const drain_step before = drainSchedule->step();
        const drain_step step = drainSchedule->update(now, callerServer.isDrained(), callerServer.isEmpty());
        if (step >= drain_step::closing) {
            callerServer.close();
        }
        if (step == drain_step::ending && before < step) {
            log::write(log::level::info, "requests in progress ended by a stop",
                       {{"busy", static_cast<std::uint64_t>(callerServer.busy())}});
        }
        if (step >= drain_step::ending) {
            callerServer.endRequests("stopping", "this process is about to end");
        }
        return step == drain_step::done;
    }

    void showTenants()
    {
        for (const quota::tenant_usage &one : tenantLimiter.usage(clock.now())) {
            const metrics::labels where{.operatorName = std::string(one.tenant)};
            metrics.gauge("medlarrack_gateway_tenant_quota_per_second", "Units a second that the tenant may use", where,
                          one.limits.perSecond);
            metrics.gauge("medlarrack_gateway_tenant_admitted_units", "Units admitted at this gateway since its start",
                          where, one.admittedUnits);
            metrics.gauge("medlarrack_gateway_tenant_refused_requests", "Requests refused over the quota", where,
                          static_cast<double>(one.refusedRequests));
            metrics.gauge("medlarrack_gateway_tenant_share", "Share of the quota of this gateway once it is used up",
                          where, one.share);
            if (one.level) {
                metrics.gauge("medlarrack_gateway_tenant_level", "Units left in the bucket of all gateways", where,
                              *one.level);
            }
        }
    }

    void showOwnLoad()
    {
        metrics.gauge("medlarrack_gateway_loop_lag_seconds", "Delay of the last periodic task", {},
                      std::chrono::duration<double>(ownLoad.lag()).count());
        metrics.gauge("medlarrack_gateway_shed_share", "Share of the new requests that is refused in an overload", {},
                      ownLoad.shedShare());
        metrics.gauge("medlarrack_gateway_cpu_use", "Share of the processor limit in use", {}, ownLoad.cpuUse());
        metrics.gauge("medlarrack_gateway_link_use", "Share of the link in use for answers", {}, ownLoad.linkUse());
        metrics.gauge("medlarrack_gateway_memory_use", "Share of the memory limit in use", {}, ownLoad.memoryUse());
    }

    void showQueues()
    {
        for (const service_queue &queue : capacityWaiters.queues(clock.now())) {
            for (const queued_level &level : queue.levels) {
                const metrics::labels where{.requestClass = std::to_string(level.urgency),
                                            .service = std::string(queue.service)};
                metrics.gauge("medlarrack_gateway_queued_requests", "Requests that wait for capacity", where,
                              static_cast<double>(level.requests));
                metrics.gauge("medlarrack_gateway_queue_oldest_wait_seconds", "Time since the oldest was queued", where,
                              std::chrono::duration<double>(level.oldestWait).count());
            }
        }
    }

    void showWorkTimes()
    {
        const core::monotonic_time now = clock.now();
        std::set<std::string_view> shown;
        for (const auto &[id, one] : replicas.all()) {
            const std::string &service = one->record.service;
            // Engines are not chosen by the duration of their work.
            if (one->agent || !shown.insert(service).second) {
                continue;
            }
            const auto times = workTimes(replicas, service, now);
            if (!times) {
                continue;
            }
            metrics.gauge("medlarrack_gateway_shortest_work_seconds",
                          "Learned duration of work at the fastest replica of a service", {.service = service},
                          std::chrono::duration<double>(times->shortest).count());
            metrics.gauge("medlarrack_gateway_longest_work_seconds",
                          "Learned duration of work at the slowest replica of a service", {.service = service},
                          std::chrono::duration<double>(times->longest).count());
        }
    }

    /// What this process exchanges with agents and reads from the store.
    void showControlTraffic()
    {
        for (std::size_t type = 0; type < agent_protocol::message_traffic::typeCount; ++type) {
            metrics.gauge("medlarrack_gateway_sent_bytes", "Bytes of messages sent to agents since the start, by type",
                          {.code = std::string(agent_protocol::message_traffic::typeName(type))},
                          static_cast<double>(agents.sent().bytes(type)));
        }
        metrics.gauge("medlarrack_gateway_store_received_bytes", "Bytes of the store's answers since the start", {},
                      static_cast<double>(store.receivedBytes()));
    }

    [[nodiscard]] bool isReady() const
    {
        return !drainSchedule && !routes.isEmpty() && !replicas.all().empty();
    }

    http1::page serveAdminPage(std::string_view target)
    {
        if (target == format.readinessTarget()) {
            return {isReady() ? statusOk : statusUnavailable, "text/plain", isReady() ? "ready\n" : "not ready\n"};
        }
        if (target == "/metrics") {
            metrics.gauge("medlarrack_gateway_store_age_seconds", "Time since the store's last good answer", {},
                          std::chrono::duration<double>(store.age()).count());
            metrics.gauge("medlarrack_gateway_store_era", "Times that the store came back from a backup, as it says",
                          {}, static_cast<double>(store.era()));
            metrics.gauge("medlarrack_gateway_state_version", "Version of the published state in force", {},
                          static_cast<double>(routes.version()));
            metrics.gauge("medlarrack_gateway_replicas", "Replicas listed", {},
                          static_cast<double>(replicas.all().size()));
            const auto isLimited = [](const auto &entry) {
                return entry.second->requestLimit.perSecond().has_value();
            };
            metrics.gauge("medlarrack_gateway_limited_replicas", "Replicas whose answers name a request limit", {},
                          static_cast<double>(std::ranges::count_if(replicas.all(), isLimited)));
            metrics.gauge("medlarrack_gateway_suspects", "Requests and parts of prompts known to have crashed replicas",
                          {}, static_cast<double>(crashDetector.size()));
            metrics.gauge("medlarrack_gateway_busy_connections", "Connections with a request in progress", {},
                          static_cast<double>(callerServer.busy()));
            showControlTraffic();
            showTenants();
            showQueues();
            showWorkTimes();
            showOwnLoad();
            metrics.gauge("medlarrack_gateway_connections", "Connections of callers, with those that are being closed",
                          {}, static_cast<double>(callerServer.size()));
            metrics.gauge("medlarrack_gateway_max_connections", "Their bound", {},
                          static_cast<double>(maxCallerConnections(settings)));
            metrics.gauge("medlarrack_gateway_held_bytes", "Bytes of requests and responses that are kept", {},
                          static_cast<double>(heldBytes.heldBytes()));
            metrics.gauge("medlarrack_gateway_max_held_bytes", "Their bound for the process", {},
                          static_cast<double>(heldBytes.limit()));
            metrics.gauge("medlarrack_gateway_waiting_for_memory", "Messages that aren't read on until there is room",
                          {}, static_cast<double>(heldBytes.waiting()));
            metrics.gauge("medlarrack_gateway_untaken_bytes", "Bytes of answers that callers have yet to take", {},
                          static_cast<double>(callerServer.untakenBytes()));
            metrics.gauge("medlarrack_gateway_awaiting_callers",
                          "Connections whose next request isn't begun until the caller takes its answers", {},
                          static_cast<double>(callerServer.awaitingCallers()));
            return {statusOk, "text/plain; version=0.0.4", metrics.text()};
        }
        if (target.substr(0, target.find('?')) == routePagePath) {
            return explainRoute(services, target);
        }
        if (target.substr(0, target.find('?')) == statePagePath) {
            return describeState(stateSources());
        }
        return {statusNotFound, "text/plain", "no such page\n"};
    }

    [[nodiscard]] state_sources stateSources() const
    {
        caller_use callers{callerServer.size(), maxCallerConnections(settings), callerServer.busy(),
                           callerServer.untakenBytes(), callerServer.smallBytesByAddress()};
        return {clock.now(),     routes,  replicas,  tenantLimiter,      tenantCounts,
                capacityWaiters, ownLoad, heldBytes, std::move(callers), readDescriptorUse()};
    }

    asio::io_context &context;
    gateway_settings settings;
    const caller_format &format;
    const core::clock &clock;
    catalog::route_table routes;
    replica_table replicas;
    metrics::registry metrics;
    adapter_waiters waiters;
    adapter_demand demand;
    caller_retry_detector callerRetryDetector;
    suspects::crash_detector crashDetector{suspects::sharedLimits, core::hash64(settings.name)};
    resumption::stream_directory streams;
    quota::tenant_limiter tenantLimiter;
    std::map<std::string, prompt_sizes, std::less<>> promptSizes;
    capacity_waiters capacityWaiters;
    tenant_counts tenantCounts;
    connection_pool connections;
    agent_links agents;
    std::map<std::string, overload::retry_budget, std::less<>> retryBudgets;
    http_run_stopper runStopper;
    std::minstd_rand random;
    overload::byte_account heldBytes;
    own_load ownLoad;
    exchange_services services;
    store_reader store;
    // Ends before what the requests in progress use, which it answers then.
    caller_server callerServer;
    http1::page_server adminServer;
    asio::steady_timer tickTimer;
    core::monotonic_time lastTickAt{};
    core::monotonic_time nextIdleConnectionCheck{};
    own_use processUse;
    core::monotonic_time nextUseReading{};
    std::optional<drain_schedule> drainSchedule;
    std::function<void()> onDrainComplete;
};

gateway_service::gateway_service(asio::io_context &context, const gateway_settings &settings,
                                 const caller_format &callers, const catalog::store_format &store,
                                 const core::clock &clock)
    : m_impl(std::make_shared<impl>(context, settings, callers, store, clock))
{
}

gateway_service::~gateway_service() = default;

bool gateway_service::start(core::reason &why)
{
    return m_impl->start(why);
}

void gateway_service::drain(std::function<void()> onDone)
{
    m_impl->drain(std::move(onDone));
}

void gateway_service::reload(const gateway_settings &settings)
{
    m_impl->settings.retryRatio = settings.retryRatio;
    m_impl->settings.retryWindow = settings.retryWindow;
    m_impl->settings.gracePeriod = settings.gracePeriod;
    m_impl->settings.responseBounds = settings.responseBounds;
    m_impl->settings.keyPolicy = settings.keyPolicy;
    m_impl->capacityWaiters.setEnabled(settings.queueRequests);
    m_impl->ownLoad.setLimits(ownLimits(settings));
    m_impl->settings.memoryLimitMb = settings.memoryLimitMb;
    m_impl->settings.maxConnections = settings.maxConnections;
    m_impl->heldBytes.setLimits(maxHeldBytes(settings), largestHolding(settings, m_impl->routes.limits()));
    m_impl->callerServer.setMaxConnections(maxCallerConnections(settings));
}

std::uint16_t gateway_service::callersPort() const
{
    return m_impl->callerServer.port();
}

std::uint16_t gateway_service::adminPort() const
{
    return m_impl->adminServer.port();
}

} // namespace medlarrack::gateway
