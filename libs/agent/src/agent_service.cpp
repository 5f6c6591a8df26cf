#include <medlarrack/agent/agent_service.hpp>
#include <medlarrack/agent/failure_rate.hpp>
#include <medlarrack/agent/fencing_token_source.hpp>
#include <medlarrack/agent/order_planner.hpp>
#include <medlarrack/agent/report_schedule.hpp>
#include <medlarrack/agent_protocol/message_connection.hpp>
#include <medlarrack/http1/call_client.hpp>
#include <medlarrack/http1/listen.hpp>
#include <medlarrack/http1/page_server.hpp>
#include <medlarrack/http1/peer_connections.hpp>
#include <medlarrack/log/log.hpp>
#include <medlarrack/metrics/registry.hpp>
#include <medlarrack/overload/log_rate.hpp>
#include <medlarrack/quota/usage_ledger.hpp>
#include <medlarrack/resumption/origin_table.hpp>
#include <medlarrack/suspects/crash_batches.hpp>
#include <medlarrack/suspects/suspect_table.hpp>

#include <asio/ip/address_v4.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <list>
#include <random>
#include <set>

namespace medlarrack::agent {

namespace {

/// Age from which a report is outdated, as after the process was frozen.
constexpr std::chrono::milliseconds maxReportAge = report_schedule::idleInterval * 2;
/// Time limit of a call to the engine, which is on the same machine and answers in a few milliseconds.
constexpr std::chrono::milliseconds engineCallTimeout{500};
/// Delay after a failed accept, and until the next try while all links are in use.
constexpr std::chrono::milliseconds acceptRetryDelay{50};
/// Gateways greet as soon as they are connected. While all links are in use, those that have not are closed.
constexpr std::chrono::milliseconds greetingGrace{1'000};
constexpr double refusalLinesPerSecond = 1;
constexpr double refusalLineBurst = 5;
constexpr std::size_t bytesPerKb = 1'024;
/// Longest time between messages to a gateway, which drops the link after three of these intervals without one.
constexpr std::chrono::milliseconds heartbeatInterval{500};
/// Change of the number of requests that is sent without waiting for the next heartbeat.
constexpr std::uint32_t requestCountThreshold = 6;
/// Change of the failure rate, in percentage points, that is sent without waiting for the next heartbeat.
constexpr std::uint32_t failurePercentThreshold = 10;

/// A link to a gateway with the last values that it sent.
struct gateway_link
{
    std::string name;
    std::unique_ptr<agent_protocol::message_connection> connection;
    std::uint64_t pendingPrefillTokens = 0;
    core::monotonic_time madeAt{};
    bool lost = false;
};

agent_protocol::engine_status makeStatus(const order_planner &planner, const failure_rate &failureRate,
                                         core::monotonic_time now)
{
    const engine_report &report = planner.report();
    agent_protocol::engine_status status;
    status.engineUp = planner.isEngineUp();
    status.startedAtMs = report.startedAtMs;
    status.models = report.models;
    status.adapters = report.adapters;
    status.load.running = report.running;
    status.load.queued = report.queued;
    status.load.pendingLoads = static_cast<std::uint32_t>(planner.pendingLoads());
    status.load.availableSlots = static_cast<std::uint32_t>(planner.availableSlots(now));
    status.load.availableMemorySlots = static_cast<std::uint32_t>(planner.availableMemorySlots(now));
    const load_times times = planner.loadTimes(now);
    status.load.storeLoadMs = static_cast<std::uint32_t>(times.fromStore.count());
    status.load.memoryLoadMs = static_cast<std::uint32_t>(times.fromMemory.count());
    status.load.loadIntervalMs = static_cast<std::uint32_t>(times.betweenStarts.count());
    status.load.rememberedAdapters = static_cast<std::uint32_t>(planner.recentAdapters().capacity());
    constexpr double percentScale = 100;
    status.load.failurePercent = static_cast<std::uint32_t>(failureRate.rate(now) * percentScale);
    return status;
}

agent_protocol::engine_change makeChange(const agent_protocol::engine_status &before,
                                         const agent_protocol::engine_status &now)
{
    agent_protocol::engine_change change;
    change.load = now.load;
    for (const auto &[adapter, version] : now.adapters) {
        const auto known = before.adapters.find(adapter);
        if (known == before.adapters.end() || known->second != version) {
            change.loaded[adapter] = version;
        }
    }
    for (const auto &[adapter, version] : before.adapters) {
        if (!now.adapters.contains(adapter)) {
            change.unloaded.push_back(adapter);
        }
    }
    return change;
}

/// Whether the engine itself has changed, which an engine_change can't express.
bool needsFullStatus(const agent_protocol::engine_status &before, const agent_protocol::engine_status &now)
{
    return before.engineUp != now.engineUp || before.startedAtMs != now.startedAtMs || before.models != now.models;
}

template<typename Count>
Count difference(Count left, Count right)
{
    return std::max(left, right) - std::min(left, right);
}

bool isSignificantChange(const agent_protocol::engine_load &before, const agent_protocol::engine_load &now)
{
    return difference(before.running + before.queued + before.pendingLoads, now.running + now.queued + now.pendingLoads)
        >= requestCountThreshold
        || difference(before.pendingPrefillTokens, now.pendingPrefillTokens) >= agent_protocol::tokenChangeThreshold
        || difference(before.failurePercent, now.failurePercent) >= failurePercentThreshold;
}

std::string_view toString(order_result result)
{
    switch (result) {
    case order_result::accepted:
        return "accepted";
    case order_result::done:
        return "done";
    case order_result::busy:
        return "busy";
    case order_result::fenced:
        return "fenced";
    case order_result::misdirected:
        return "misdirected";
    case order_result::refused:
        return "refused";
    case order_result::unknown:
        break;
    }
    return "unknown";
}

} // namespace

class agent_service::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context &ioContext, const agent_settings &agentSettings, const engine_format &engineFormat,
         const core::clock &givenClock)
        : context(ioContext)
        , settings(agentSettings)
        , format(engineFormat)
        , clock(givenClock)
        , acceptor(ioContext)
        , timer(ioContext)
        , acceptTimer(ioContext)
        , pages(ioContext,
                [this](std::string_view target) {
                    return servePage(target);
                })
        , tokenSource(givenClock.wallNow())
    {
    }

    bool start(core::reason &why)
    {
        const auto engine = http1::parseEndpoint(settings.engine);
        if (!engine) {
            why = {"bad_engine_address", "engine address '" + settings.engine + "' is not of the form ADDRESS:PORT"};
            return false;
        }
        const std::size_t maxBytes = settings.maxReportKb * bytesPerKb;
        reportClient = std::make_unique<http1::call_client>(context, *engine, maxBytes);
        orderClient = std::make_unique<http1::call_client>(context, *engine, maxBytes, format.idHeader());
        std::error_code error;
        const asio::ip::tcp::endpoint at(asio::ip::make_address_v4(settings.address, error), settings.port);
        if (error) {
            why = {"bad_listen_address", "listen address '" + settings.address + "' is not an IPv4 address"};
            return false;
        }
        if (!http1::listen(acceptor, at, why)) {
            return false;
        }
        if (settings.metricsPort != 0 && !pages.listen({at.address(), settings.metricsPort}, why)) {
            return false;
        }
        accept();
        scheduleTick(std::chrono::milliseconds(0));
        return true;
    }

    void stop()
    {
        std::error_code ignored;
        stopped = true;
        acceptor.close(ignored);
        pages.close();
        timer.cancel();
        acceptTimer.cancel();
        links.clear();
        reportClient.reset();
        orderClient.reset();
    }

    http1::page servePage(std::string_view target)
    {
        constexpr int ok = 200;
        constexpr int notFound = 404;
        if (target != "/metrics") {
            return {notFound, "text/plain", "no such page\n"};
        }
        const engine_report &report = planner.report();
        metrics.gauge("medlarrack_agent_engine_up", "Whether the engine answers", {}, planner.isEngineUp() ? 1 : 0);
        metrics.gauge("medlarrack_agent_adapters", "Adapters that the engine holds", {},
                      static_cast<double>(report.adapters.size()));
        metrics.gauge("medlarrack_agent_adapters_wanted", "Adapters that requests wait for", {},
                      static_cast<double>(planner.pendingLoads()));
        const load_times times = planner.loadTimes(clock.now());
        const auto inSeconds = [](auto time) {
            return std::chrono::duration<double>(time).count();
        };
        metrics.gauge("medlarrack_agent_store_load_seconds", "Learned time of a load from the weight store", {},
                      inSeconds(times.fromStore));
        metrics.gauge("medlarrack_agent_idle_store_load_seconds",
                      "Learned time of a load from the weight store while it is idle", {},
                      inSeconds(planner.pacer().idleLoadTime()));
        metrics.gauge("medlarrack_agent_memory_load_seconds", "Learned time of a load from the engine's memory", {},
                      inSeconds(times.fromMemory));
        metrics.gauge("medlarrack_agent_load_limit", "Loads from the weight store at a time", {},
                      planner.pacer().limit());
        metrics.gauge("medlarrack_agent_remembered_adapters", "Adapters that the engine's memory keeps, as learned", {},
                      static_cast<double>(planner.recentAdapters().capacity()));
        metrics.gauge("medlarrack_agent_failing_share", "Share of recent requests that failed", {},
                      failureRate.rate(clock.now()));
        metrics.gauge("medlarrack_agent_suspects", "Requests known to have crashed replicas", {},
                      static_cast<double>(suspects.size()));
        metrics.gauge("medlarrack_agent_stream_origins", "Streams whose origin is remembered for gateways", {},
                      static_cast<double>(streamOrigins.size()));
        metrics.gauge("medlarrack_agent_requests", "Requests running and queued at the engine", {},
                      report.running + report.queued);
        for (std::size_t type = 0; type < agent_protocol::message_traffic::typeCount; ++type) {
            metrics.gauge("medlarrack_agent_sent_bytes", "Bytes of messages sent to gateways since the start, by type",
                          {.code = std::string(agent_protocol::message_traffic::typeName(type))},
                          static_cast<double>(sentTraffic.bytes(type)));
        }
        for (const core::tenant_total &one : tenantUsage.totals(clock.now())) {
            const metrics::labels where{.operatorName = one.tenant};
            metrics.gauge("medlarrack_agent_tenant_level", "Units left in the tenant's bucket", where, one.level);
            metrics.gauge("medlarrack_agent_tenant_asked_per_second", "Units a second that all gateways are asked for",
                          where, one.askedPerSecond);
        }
        return {ok, "text/plain; version=0.0.4", metrics.text()};
    }

    /// Whether there is room for one link more, perhaps because one without a greeting was closed for it.
    bool makeRoomForLink()
    {
        if (links.size() < maxLinkCount) {
            return true;
        }
        const core::monotonic_time now = clock.now();
        // In the order in which they were made.
        const auto found = std::ranges::find_if(links, [now](const gateway_link &link) {
            return link.name.empty() && now - link.madeAt >= greetingGrace;
        });
        if (found == links.end()) {
            return false;
        }
        metrics.count("medlarrack_agent_refused_peers_total", "Connections closed for want of a greeting", {});
        if (const auto unlogged = refusalLines.tryWrite(now)) {
            log::write(log::level::warning, "link closed",
                       {{"why", "no greeting was sent, and all links are in use"},
                        {"links", static_cast<std::uint64_t>(links.size())},
                        {"unlogged", *unlogged}});
        }
        links.erase(found);
        return true;
    }

    void acceptLater()
    {
        acceptTimer.expires_after(acceptRetryDelay);
        acceptTimer.async_wait([weak = weak_from_this()](const std::error_code &error) {
            if (const auto self = weak.lock(); self != nullptr && !self->stopped && !error) {
                self->accept();
            }
        });
    }

    void accept()
    {
        if (!makeRoomForLink()) {
            acceptLater();
            return;
        }
        acceptor.async_accept([weak = weak_from_this()](const std::error_code &error, asio::ip::tcp::socket socket) {
            const auto self = weak.lock();
            if (self == nullptr || self->stopped || error == asio::error::operation_aborted) {
                return;
            }
            if (error) {
                log::write(log::level::warning, "failed to accept connection", {{"why", error.message()}});
                self->acceptLater();
                return;
            }
            self->addLink(std::move(socket));
            self->accept();
        });
    }

    void addLink(asio::ip::tcp::socket socket)
    {
        const auto added = links.emplace(links.end());
        added->madeAt = clock.now();
        added->connection = std::make_unique<agent_protocol::message_connection>(
            std::make_shared<http1::byte_stream>(context, std::move(socket)), sentTraffic,
            [this, added](const agent_protocol::message &message) {
                std::visit(
                    [&](const auto &body) {
                        handle(*added, body);
                    },
                    message);
            },
            [this, added](std::string_view why) {
                onLinkLost(*added, why);
            });
        added->connection->start();
        // Later changes are relative to the last published status.
        agent_protocol::engine_status full = publishedStatus;
        full.recentAdapters = planner.recentAdapters().inMemory();
        added->connection->send(full);
        added->connection->sendPaced(
            [this, batches = suspects::crash_batches(suspects)]() mutable -> std::optional<agent_protocol::message> {
                if (auto known = batches.next(clock.now())) {
                    return agent_protocol::crash_report{*std::move(known)};
                }
                return std::nullopt;
            });
    }

    void onLinkLost(gateway_link &link, std::string_view why)
    {
        link.lost = true;
        planner.setInUse(link.name, {}, clock.now());
        log::write(log::level::info, "gateway link lost", {{"gateway", link.name}, {"why", why}});
        asio::post(context, [weak = weak_from_this()] {
            if (const auto self = weak.lock(); self != nullptr) {
                self->links.remove_if([](const gateway_link &candidate) {
                    return candidate.lost;
                });
            }
        });
    }

    void handle(gateway_link &from, const agent_protocol::greeting &greeting)
    {
        from.name = greeting.name;
        log::write(log::level::info, "gateway link made", {{"gateway", from.name}});
    }

    void handle(gateway_link &, const agent_protocol::load_request &request)
    {
        for (const std::string &adapter : request.adapters) {
            planner.requestAdapter(adapter, clock.now());
        }
        sendOrderOrPoll();
    }

    void handle(gateway_link &from, const agent_protocol::adapters_in_use &inUse)
    {
        planner.setInUse(from.name, inUse.adapters, clock.now());
        failureRate.record(inUse.succeeded, inUse.failed, clock.now());
        from.pendingPrefillTokens = inUse.pendingPrefillTokens;
        publishIfDue();
    }

    void handle(gateway_link &, const agent_protocol::service_config &config)
    {
        if (config.stateVersion < stateVersion) {
            return;
        }
        stateVersion = config.stateVersion;
        engine_limits limits;
        limits.weightsMb = config.weightsMb;
        double freeWeightsMb = config.weightsMb;
        for (const agent_protocol::model_config &model : config.models) {
            limits.listedModels[model.name] = {model.weightsMb, model.adapterMb};
            // Models that don't fit beside the previous ones are skipped: an engine with overcommitted memory
            // crashes.
            if (model.weightsMb <= freeWeightsMb) {
                freeWeightsMb -= model.weightsMb;
                limits.models.push_back(model.name);
            }
        }
        limits.adapterSlots = config.adapterSlots;
        for (const agent_protocol::model_config &model : config.models) {
            if (model.adapterMb > 0) {
                // The quotient may be larger than its type holds.
                limits.adapterSlots =
                    static_cast<std::uint32_t>(std::min<double>(limits.adapterSlots, freeWeightsMb / model.adapterMb));
            }
        }
        planner.setLimits(std::move(limits));
        sendOrderOrPoll();
    }

    void handle(gateway_link &, const agent_protocol::adapter_releases &releases)
    {
        for (const auto &[adapter, version] : releases.versions) {
            planner.setRelease(adapter, version);
        }
        sendOrderOrPoll();
    }

    /// Forwards new crash records to the other gateways, which have no links to each other, and keeps them for gateways
    /// that connect later, such as after a restart.
    void handle(gateway_link &from, const agent_protocol::crash_report &report)
    {
        const core::crash_news update = suspects.merge(report.news, clock.now());
        if (update.empty()) {
            return;
        }
        log::write(log::level::info, "crash news passed on",
                   {{"from", from.name},
                    {"crashes", static_cast<std::uint64_t>(update.crashes.size())},
                    {"acquittals", static_cast<std::uint64_t>(update.acquittals.size())},
                    {"suspects", static_cast<std::uint64_t>(suspects.size())}});
        broadcast(agent_protocol::crash_report{update}, &from);
    }

    /// Remembers streams for gateways that haven't relayed them, such as those that start after all others ended.
    void handle(gateway_link &, const agent_protocol::stream_origins &origins)
    {
        for (const auto &[origin, streams] : origins.streams) {
            for (const std::uint64_t stream : streams) {
                streamOrigins.add(stream, origin, clock.now());
            }
        }
    }

    void handle(gateway_link &from, const agent_protocol::origin_query &query)
    {
        agent_protocol::origin_answer answer;
        std::uint64_t known = 0;
        for (const std::uint64_t stream : query.streams) {
            const auto origin = streamOrigins.find(stream, clock.now());
            answer.origins[stream] = origin.value_or(0);
            known += origin ? 1 : 0;
        }
        log::write(
            log::level::info, "origins of streams asked for",
            {{"gateway", from.name}, {"streams", static_cast<std::uint64_t>(query.streams.size())}, {"known", known}});
        from.connection->send(answer);
    }

    /// Keeps the buckets of tenants for all gateways, which report to the same agents.
    void handle(gateway_link &from, const agent_protocol::tenant_usage &usage)
    {
        agent_protocol::tenant_totals answer;
        for (const core::tenant_report &report : usage.reports) {
            answer.totals.push_back(tenantUsage.record(from.name, report, usage.stateVersion, clock.now()));
        }
        from.connection->send(answer);
    }

    /// Sends a message to all gateways except the one that it came from.
    void broadcast(const agent_protocol::message &message, const gateway_link *from = nullptr)
    {
        const std::string text = agent_protocol::encode(message);
        for (gateway_link &link : links) {
            if (!link.lost && &link != from) {
                link.connection->sendEncoded(message.index(), text);
            }
        }
    }

    // Only agents send these messages; ignored if a gateway does.
    void handle(gateway_link &, const agent_protocol::engine_status &)
    {
    }

    void handle(gateway_link &, const agent_protocol::engine_change &)
    {
    }

    void handle(gateway_link &, const agent_protocol::origin_answer &)
    {
    }

    void handle(gateway_link &, const agent_protocol::tenant_totals &)
    {
    }

    void scheduleTick(std::chrono::milliseconds delay)
    {
        timer.expires_after(delay);
        timer.async_wait([weak = weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (self != nullptr && !error && !self->stopped) {
                self->tick();
            }
        });
    }

    void tick()
    {
        pollDue = true;
        sendOrderOrPoll();
        publishIfDue();
        log::flush();
        scheduleTick(reportSchedule.next(planner.hasPendingWork(), clock.now()));
    }

    /// Sends the next order, or polls the engine if that is due.
    void sendOrderOrPoll()
    {
        if (stopped || reportClient->isBusy() || orderClient->isBusy()) {
            return;
        }
        // The last report is outdated if the process was frozen in between: no order is sent before a new one.
        const core::monotonic_time now = clock.now();
        if (!pollDue && now - reportedAt < maxReportAge) {
            if (const auto order = planner.nextOrder(now)) {
                sendOrder(*order);
                return;
            }
        }
        if (pollDue || now - reportedAt >= maxReportAge) {
            requestReport();
        }
    }

    void requestReport()
    {
        pollDue = false;
        reportClient->call("GET", format.reportTarget(), "", engineCallTimeout,
                           [this](const std::optional<http1::call_answer> &answer, const core::reason &why) {
                               onReport(answer, why);
                           });
    }

    void onReport(const std::optional<http1::call_answer> &answer, core::reason why)
    {
        const bool wasUp = planner.isEngineUp();
        auto report = answer && answer->status == 200 ? format.readReport(answer->body, why) : std::nullopt;
        if (!report) {
            planner.onEngineUnreachable();
            if (wasUp) {
                log::write(log::level::warning, "engine lost", {{"why", why.message}});
            }
            publishIfDue();
            return;
        }
        if (planner.isOutdated(*report, clock.now())) {
            log::write(log::level::warning, "outdated report of the engine dropped",
                       {{"started_at_ms", report->startedAtMs}, {"sequence", report->sequence.value_or(0)}});
            return;
        }
        reportedAt = clock.now();
        if (report->startedAtMs != planner.report().startedAtMs) {
            failureRate.onEngineRestart(reportedAt);
        }
        for (const completed_load &load : planner.onReport(*std::move(report), reportedAt)) {
            constexpr double percentScale = 100;
            log::write(log::level::info, "adapter loaded",
                       {{"adapter", load.adapter},
                        {"source", load.fromMemory ? "memory" : "store"},
                        {"load_ms", load.time.count()},
                        {"load_limit_percent", static_cast<std::uint64_t>(planner.pacer().limit() * percentScale)},
                        {"waiting", static_cast<std::uint64_t>(planner.pendingLoads())}});
        }
        if (!wasUp) {
            log::write(log::level::info, "engine answers",
                       {{"started_at_ms", planner.report().startedAtMs},
                        {"adapters", static_cast<std::uint64_t>(planner.report().adapters.size())}});
        }
        publishIfDue();
        sendOrderOrPoll();
    }

    void sendOrder(const engine_order &order)
    {
        const std::uint64_t token = tokenSource.current();
        orderedAt = clock.now();
        if (!orderClient->isAnswerProvable()) {
            orderClient->disconnect();
        }
        orderClient->call(
            "POST", format.orderTarget(), format.orderBody(order, settings.name, token), engineCallTimeout,
            [this, order, token](const std::optional<http1::call_answer> &answer, const core::reason &why) {
                onOrderResult(order, token, answer, why);
            });
    }

    void onOrderResult(const engine_order &order, std::uint64_t token, const std::optional<http1::call_answer> &answer,
                       const core::reason &why)
    {
        const order_result result = answer ? format.readOrderStatus(answer->status) : order_result::unknown;
        if (result == order_result::fenced) {
            tokenSource.advance();
        }
        planner.onOrderResult(order, result, clock.now());
        pollDue = pollDue || planner.needsReport();
        metrics.count("medlarrack_agent_orders_total", "Orders given to the engine, by how it took them",
                      {.code = std::string(toString(result))});
        metrics.observeSeconds("medlarrack_agent_order_seconds", "Time from an order to its answer", {},
                               std::chrono::duration<double>(clock.now() - orderedAt).count());
        log::write(log::level::info,
                   order.operation == engine_order::operation_type::load ? "load ordered" : "unload ordered",
                   {{"model", order.model},
                    {"adapter", order.adapter},
                    {"version", order.version},
                    {"fencing_token", token},
                    {"result", toString(result)},
                    {"why", why.message}});
        if (const auto delay = reportSchedule.advance(planner.hasPendingWork(), clock.now())) {
            scheduleTick(*delay);
        }
        sendOrderOrPoll();
    }

    void publishIfDue()
    {
        const core::monotonic_time now = clock.now();
        agent_protocol::engine_status status = makeStatus(planner, failureRate, now);
        for (const gateway_link &link : links) {
            status.load.gatewayCount += link.lost ? 0 : 1;
            status.load.pendingPrefillTokens += link.lost ? 0 : link.pendingPrefillTokens;
        }
        const agent_protocol::engine_change change = makeChange(publishedStatus, status);
        const bool fullStatusNeeded = needsFullStatus(publishedStatus, status);
        const bool unchanged =
            change.loaded.empty() && change.unloaded.empty() && !isSignificantChange(publishedStatus.load, status.load);
        if (!fullStatusNeeded && unchanged && now - publishedAt < heartbeatInterval) {
            return;
        }
        if (fullStatusNeeded) {
            agent_protocol::engine_status full = status;
            full.recentAdapters = planner.recentAdapters().inMemory();
            broadcast(full);
        } else {
            broadcast(change);
        }
        publishedStatus = std::move(status);
        publishedAt = now;
    }

    asio::io_context &context;
    agent_settings settings;
    const engine_format &format;
    const core::clock &clock;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer timer;
    asio::steady_timer acceptTimer;
    const std::size_t maxLinkCount = http1::maxPeerConnections();
    overload::log_rate refusalLines{refusalLinesPerSecond, refusalLineBurst, clock.now()};
    /// Reports prove themselves: they run forward, and a late one frees no slot that an order could take.
    std::unique_ptr<http1::call_client> reportClient;
    /// Orders have a connection of their own, on which no report can be taken for the answer to an order.
    std::unique_ptr<http1::call_client> orderClient;
    http1::page_server pages;
    metrics::registry metrics;
    report_schedule reportSchedule;
    order_planner planner{std::random_device()()};
    failure_rate failureRate;
    suspects::suspect_table suspects{suspects::sharedLimits};
    resumption::origin_table streamOrigins;
    quota::usage_ledger tenantUsage;
    fencing_token_source tokenSource;
    agent_protocol::message_traffic sentTraffic;
    std::list<gateway_link> links;
    agent_protocol::engine_status publishedStatus;
    core::monotonic_time publishedAt{};
    core::monotonic_time reportedAt{};
    core::monotonic_time orderedAt{};
    std::uint64_t stateVersion = 0;
    bool pollDue = false;
    bool stopped = false;
};

agent_service::agent_service(asio::io_context &context, const agent_settings &settings, const engine_format &format,
                             const core::clock &clock)
    : m_impl(std::make_shared<impl>(context, settings, format, clock))
{
}

agent_service::~agent_service()
{
    m_impl->stop();
}

bool agent_service::start(core::reason &why)
{
    return m_impl->start(why);
}

void agent_service::stop()
{
    m_impl->stop();
}

} // namespace medlarrack::agent
