#include "front.hpp"
#include "milliseconds.hpp"
#include "store_reader.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/gateway/gateway_service.hpp>
#include <medlarrack/http1/call_client.hpp>
#include <medlarrack/http1/page_server.hpp>
#include <medlarrack/log/log.hpp>

#include <asio/steady_timer.hpp>

#include <map>
#include <optional>
#include <utility>

namespace medlarrack::gateway {

namespace {

using std::chrono::milliseconds;

/// Pace of deadlines, links and logs. Half of the finest bound, 50 ms of use told to agents.
constexpr milliseconds tickInterval{25};
/// Pace of closing kept connections that have been idle for too long; finer than their idle times of seconds.
constexpr milliseconds trimInterval{500};
/// After a request to stop, new connections still come until the balancer has seen twice, once a second, that the
/// process isn't ready.
constexpr milliseconds listenAfterStop{2'500};
/// Pause between calls to the store, in hundredths of the time for a change: one call may fail and be made again.
constexpr int storeShare = 38;
/// Replicas that the store dropped while it was away are listed again within about two seconds of its return.
constexpr milliseconds removalGrace{2'200};
constexpr int ok = 200;
constexpr int notReady = 503;
constexpr int notFound = 404;

} // namespace

class gateway_service::impl
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
        , agents(owner, time, given.name, given.agentPort, replicas, routes, crashes,
                 [this](const replica_ptr &changed) {
                     const core::monotonic_time now = clock.now();
                     if (changed->awaitsListing(now)) {
                         store.hurry();
                     }
                     waiters.engineChanged(replicas, *changed, now);
                 })
        , random(static_cast<std::minstd_rand::result_type>(time.wallNow().time_since_epoch().count()))
        , services{time,
                   callerFormat,
                   routes,
                   replicas,
                   connections,
                   agents,
                   waiters,
                   demand,
                   returning,
                   crashes,
                   metrics,
                   [this](std::string_view service) -> overload::retry_budget & {
                       return budgetOf(service);
                   },
                   [this] {
                       return store.age();
                   },
                   [this] {
                       store.hurry();
                   },
                   random}
        , callers(owner, services)
        , admin(owner,
                [this](std::string_view target) {
                    return answerAdmin(target);
                })
        , timer(owner)
        , store(owner, http1::parseEndpoint(given.store).value_or(asio::ip::tcp::endpoint()), storeFormat, time,
                given.changeBound * storeShare / 100, [this](const store_news &news) {
                    takeNews(news);
                })
    {
    }

    bool start(core::reason &why)
    {
        const auto callersAt = http1::parseEndpoint(settings.callers);
        const auto adminAt = http1::parseEndpoint(settings.admin);
        if (!callersAt || !adminAt) {
            why = {"bad_address", "the addresses to listen at are no IPv4 addresses with a port"};
            return false;
        }
        if (!callers.listen(*callersAt, why) || !admin.listen(*adminAt, why)) {
            return false;
        }
        store.start();
        tick();
        return true;
    }

    overload::retry_budget &budgetOf(std::string_view service)
    {
        const auto found = budgets.find(service);
        if (found != budgets.end()) {
            return found->second;
        }
        return budgets.emplace(std::string(service), makeRetryBudget(settings)).first->second;
    }

    void takeNews(const store_news &news)
    {
        const core::monotonic_time now = clock.now();
        const milliseconds grace = news.afterOutage ? removalGrace : milliseconds(0);
        for (catalog::store_change &change : news.changes) {
            std::visit(
                [&](auto &body) {
                    take(body, grace, now);
                },
                change);
        }
        if (news.allReplicas) {
            replicas.keepOnly(*news.allReplicas, grace, now);
        }
        waiters.dropRemoved(replicas);
    }

    void take(catalog::published_state &state, milliseconds, core::monotonic_time)
    {
        const std::uint64_t version = state.version;
        if (routes.take(std::move(state))) {
            log::write(log::level::info, "published state taken",
                       {{"state_version", version}, {"revision", store.revision()}});
        }
    }

    void take(catalog::replica_record &record, milliseconds, core::monotonic_time now)
    {
        const replica_ptr known = replicas.find(record.id);
        const bool wasLeaving = known != nullptr && known->record.leaving;
        const std::string id = record.id;
        if (!replicas.take(std::move(record), now)) {
            return;
        }
        const replica_ptr taken = replicas.find(id);
        if (known == nullptr || wasLeaving != taken->record.leaving) {
            log::write(log::level::info, "replica listed",
                       {{"replica", id},
                        {"service", taken->record.service},
                        {"address", taken->record.address + ":" + std::to_string(taken->record.port)},
                        {"leaving", taken->record.leaving},
                        {"sequence", taken->record.sequence},
                        {"revision", store.revision()}});
        }
    }

    void take(catalog::replica_removal &removal, milliseconds grace, core::monotonic_time now)
    {
        log::write(log::level::info, "replica not listed any more",
                   {{"replica", removal.id}, {"grace_ms", grace.count()}, {"revision", store.revision()}});
        replicas.remove(removal.id, grace, now);
    }

    void take(catalog::adapter_release &release, milliseconds, core::monotonic_time)
    {
        if (replicas.takeRelease(release.adapter, release.version)) {
            log::write(log::level::info, "adapter version published",
                       {{"adapter", release.adapter}, {"version", release.version}});
        }
    }

    void take(catalog::unreadable_record &record, milliseconds, core::monotonic_time)
    {
        log::write(log::level::warning, "record not read", {{"key", record.key}, {"why", record.why}});
    }

    void tick()
    {
        const core::monotonic_time now = clock.now();
        replicas.expire(now);
        callers.tick(now);
        agents.tick();
        judgeLostRuns(now);
        if (now >= trimAt) {
            trimAt = now + trimInterval;
            connections.trim();
        }
        log::flush();
        if (onDrained && drainIsOver(now)) {
            log::write(log::level::info, "stopped", {{"unanswered", static_cast<std::uint64_t>(callers.busy())}});
            log::flush();
            std::exchange(onDrained, nullptr)();
            return;
        }
        timer.expires_after(tickInterval);
        timer.async_wait([this](const std::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    void judgeLostRuns(core::monotonic_time now)
    {
        crashes.resolveOverdueRuns(now, [this](const core::instance_ref &target) {
            return lives(target);
        });
        for (const suspects::confirmed_crash &one : crashes.takeConfirmedCrashes()) {
            log::write(log::level::info, "run crashed its replica",
                       {{"fingerprint", one.fingerprint},
                        {"replica", one.target},
                        {"ran_ms", inMilliseconds(one.runTime)},
                        {"why", one.evidence},
                        {"crashes", static_cast<std::uint64_t>(one.crashCount)}});
        }
        agents.tell(crashes.takeNews(now));
    }

    /// Whether a replica is known to run as the same incarnation. Only agents tell that.
    [[nodiscard]] std::optional<bool> lives(const core::instance_ref &target) const
    {
        const replica_ptr known = replicas.find(target.id);
        // An agent that has just started knows no start of its engine yet.
        if (known == nullptr || !known->agent || known->agent->startedAtMs == 0) {
            return std::nullopt;
        }
        return known->agent->engineUp && known->agent->startedAtMs == target.incarnation;
    }

    void drain(std::function<void()> onDone)
    {
        draining = true;
        drainStart = clock.now();
        onDrained = std::move(onDone);
        callers.drain();
        log::write(log::level::info, "stopping", {{"busy", static_cast<std::uint64_t>(callers.busy())}});
    }

    bool drainIsOver(core::monotonic_time now)
    {
        if (now - drainStart >= settings.drainTime) {
            return true;
        }
        if (now - drainStart < listenAfterStop) {
            return false;
        }
        callers.close();
        return callers.busy() == 0;
    }

    [[nodiscard]] bool isReady() const
    {
        return !draining && !routes.isEmpty() && !replicas.all().empty();
    }

    http1::page answerAdmin(std::string_view target)
    {
        if (target == format.readinessTarget()) {
            return {isReady() ? ok : notReady, "text/plain", isReady() ? "ready\n" : "not ready\n"};
        }
        if (target == "/metrics") {
            metrics.gauge("medlarrack_gateway_store_age_seconds", "Time since the store's last good answer", {},
                          std::chrono::duration<double>(store.age()).count());
            metrics.gauge("medlarrack_gateway_state_version", "Version of the published state in force", {},
                          static_cast<double>(routes.version()));
            metrics.gauge("medlarrack_gateway_replicas", "Replicas listed", {},
                          static_cast<double>(replicas.all().size()));
            metrics.gauge("medlarrack_gateway_suspects", "Requests known to have crashed replicas", {},
                          static_cast<double>(crashes.size()));
            metrics.gauge("medlarrack_gateway_busy_connections", "Connections with a request in progress", {},
                          static_cast<double>(callers.busy()));
            return {ok, "text/plain; version=0.0.4", metrics.text()};
        }
        return {notFound, "text/plain", "no such page\n"};
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
    returning_callers returning;
    suspects::crash_detector crashes{suspects::sharedLimits, core::hash64(settings.name)};
    connection_pool connections;
    agent_links agents;
    std::map<std::string, overload::retry_budget, std::less<>> budgets;
    std::minstd_rand random;
    exchange_services services;
    front callers;
    http1::page_server admin;
    asio::steady_timer timer;
    store_reader store;
    core::monotonic_time trimAt{};
    core::monotonic_time drainStart{};
    std::function<void()> onDrained;
    bool draining = false;
};

gateway_service::gateway_service(asio::io_context &context, const gateway_settings &settings,
                                 const caller_format &callers, const catalog::store_format &store,
                                 const core::clock &clock)
    : m_impl(std::make_unique<impl>(context, settings, callers, store, clock))
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
    m_impl->settings.drainTime = settings.drainTime;
}

std::uint16_t gateway_service::callersPort() const
{
    return m_impl->callers.port();
}

std::uint16_t gateway_service::adminPort() const
{
    return m_impl->admin.port();
}

} // namespace medlarrack::gateway
