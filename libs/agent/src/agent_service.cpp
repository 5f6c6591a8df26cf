#include <medlarrack/agent/agent_service.hpp>
#include <medlarrack/agent/failure_rate.hpp>
#include <medlarrack/agent/fencing_token_source.hpp>
#include <medlarrack/agent/order_planner.hpp>
#include <medlarrack/agent_protocol/message_connection.hpp>
#include <medlarrack/http1/call_client.hpp>
#include <medlarrack/http1/listen.hpp>
#include <medlarrack/http1/page_server.hpp>
#include <medlarrack/log/log.hpp>
#include <medlarrack/metrics/registry.hpp>
#include <medlarrack/suspects/suspect_table.hpp>

#include <asio/ip/address_v4.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <list>
#include <set>

namespace medlarrack::agent {

namespace {

/// Between reports while something is on its way: a load from the replica's own memory takes 25 ms.
constexpr std::chrono::milliseconds activeInterval{20};
/// Between reports while nothing is.
constexpr std::chrono::milliseconds idleInterval{150};
/// A replica on the same machine answers in a few milliseconds.
constexpr std::chrono::milliseconds callTimeout{500};
/// Gateways take an agent as lost after three of these without a status.
constexpr std::chrono::milliseconds heartbeat{500};
/// Change of the number of requests that is told before the heartbeat.
constexpr std::uint32_t notableLoadChange = 6;

/// Change of the share of failing requests, in hundredths, that is told before the heartbeat.
constexpr std::uint32_t notableFailures = 10;

/// A gateway's link with what it said of itself.
struct gateway_link
{
    std::string name;
    std::unique_ptr<agent_protocol::message_connection> connection;
    std::uint64_t pendingPromptTokens = 0;
    bool lost = false;
};

agent_protocol::engine_status statusOf(const order_planner &planner, const failure_rate &failures,
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
    constexpr double hundredths = 100;
    status.load.failurePercent = static_cast<std::uint32_t>(failures.rate(now) * hundredths);
    return status;
}

agent_protocol::engine_change changeBetween(const agent_protocol::engine_status &before,
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

bool isOtherEngine(const agent_protocol::engine_status &left, const agent_protocol::engine_status &right)
{
    return left.engineUp != right.engineUp || left.startedAtMs != right.startedAtMs || left.models != right.models;
}

template<typename Count>
Count difference(Count left, Count right)
{
    return std::max(left, right) - std::min(left, right);
}

bool isNotable(const agent_protocol::engine_load &before, const agent_protocol::engine_load &now)
{
    return difference(before.running + before.queued + before.pendingLoads, now.running + now.queued + now.pendingLoads)
        >= notableLoadChange
        || difference(before.pendingPromptTokens, now.pendingPromptTokens) >= agent_protocol::tokenChangeThreshold
        || difference(before.failurePercent, now.failurePercent) >= notableFailures;
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

class agent_service::impl
{
public:
    impl(asio::io_context &owner, const agent_settings &given, const engine_format &engineFormat,
         const core::clock &time)
        : context(owner)
        , settings(given)
        , format(engineFormat)
        , clock(time)
        , acceptor(owner)
        , timer(owner)
        , pages(owner,
                [this](std::string_view target) {
                    return answerPage(target);
                })
        , fence(time.wallNow())
    {
    }

    bool start(core::reason &why)
    {
        const auto engine = http1::parseEndpoint(settings.engine);
        if (!engine) {
            why = {"bad_engine_address", "'" + settings.engine + "' is no address with a port"};
            return false;
        }
        client = std::make_unique<http1::call_client>(context, *engine);
        std::error_code error;
        const asio::ip::tcp::endpoint at(asio::ip::make_address_v4(settings.address, error), settings.port);
        if (error) {
            why = {"bad_listen_address", "'" + settings.address + "' is no IPv4 address"};
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
        links.clear();
        client.reset();
    }

    http1::page answerPage(std::string_view target)
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
        metrics.gauge("medlarrack_agent_failing_share", "Share of recent requests that failed", {},
                      failures.rate(clock.now()));
        metrics.gauge("medlarrack_agent_suspects", "Requests known to have crashed replicas", {},
                      static_cast<double>(suspects.size()));
        metrics.gauge("medlarrack_agent_requests", "Requests running and queued at the engine", {},
                      report.running + report.queued);
        return {ok, "text/plain; version=0.0.4", metrics.text()};
    }

    void accept()
    {
        acceptor.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
            if (stopped || error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                addLink(std::move(socket));
            }
            accept();
        });
    }

    void addLink(asio::ip::tcp::socket socket)
    {
        const auto added = links.emplace(links.end());
        added->connection = std::make_unique<agent_protocol::message_connection>(
            std::make_shared<http1::byte_stream>(context, std::move(socket)),
            [this, added](const agent_protocol::message &message) {
                std::visit(
                    [&](const auto &body) {
                        take(*added, body);
                    },
                    message);
            },
            [this, added](std::string_view why) {
                loseLink(*added, why);
            });
        added->connection->start();
        // Changes build on what was published last.
        added->connection->send(published);
        if (const core::crash_news known = {suspects.records(clock.now()), {}}; !known.empty()) {
            added->connection->send(agent_protocol::crash_report{known});
        }
    }

    void loseLink(gateway_link &lost, std::string_view why)
    {
        lost.lost = true;
        planner.setInUse(lost.name, {}, clock.now());
        log::write(log::level::info, "gateway link lost", {{"gateway", lost.name}, {"why", why}});
        asio::post(context, [this] {
            links.remove_if([](const gateway_link &one) {
                return one.lost;
            });
        });
    }

    void take(gateway_link &from, const agent_protocol::greeting &greeting)
    {
        from.name = greeting.name;
        log::write(log::level::info, "gateway link made", {{"gateway", from.name}});
    }

    void take(gateway_link &, const agent_protocol::load_request &asked)
    {
        for (const std::string &adapter : asked.adapters) {
            planner.requestAdapter(adapter, clock.now());
        }
        work();
    }

    void take(gateway_link &from, const agent_protocol::adapters_in_use &used)
    {
        planner.setInUse(from.name, used.adapters, clock.now());
        failures.record(used.succeeded, used.failed, clock.now());
        from.pendingPromptTokens = used.pendingPromptTokens;
        publishIfDue();
    }

    void take(gateway_link &, const agent_protocol::service_config &facts)
    {
        if (facts.stateVersion < stateVersion) {
            return;
        }
        stateVersion = facts.stateVersion;
        engine_limits limits;
        double room = facts.weightsMb;
        for (const agent_protocol::model_config &model : facts.models) {
            // A model that doesn't fit beside those before it stays away: an engine crashes on an overload.
            if (model.weightsMb <= room) {
                room -= model.weightsMb;
                limits.models.push_back(model.name);
            }
        }
        limits.adapterSlots = facts.adapterSlots;
        for (const agent_protocol::model_config &model : facts.models) {
            if (model.adapterMb > 0) {
                limits.adapterSlots = std::min(limits.adapterSlots, static_cast<std::uint32_t>(room / model.adapterMb));
            }
        }
        planner.setLimits(std::move(limits));
        work();
    }

    void take(gateway_link &, const agent_protocol::adapter_releases &releases)
    {
        for (const auto &[adapter, version] : releases.versions) {
            planner.setRelease(adapter, version);
        }
        work();
    }

    /// Gateways don't know of each other: agents pass on what one tells, and keep it for gateways that start anew.
    void take(gateway_link &from, const agent_protocol::crash_report &report)
    {
        const core::crash_news news = suspects.merge(report.news, clock.now());
        if (news.empty()) {
            return;
        }
        log::write(log::level::info, "crash news passed on",
                   {{"from", from.name},
                    {"crashes", static_cast<std::uint64_t>(news.crashes.size())},
                    {"acquittals", static_cast<std::uint64_t>(news.acquittals.size())},
                    {"suspects", static_cast<std::uint64_t>(suspects.size())}});
        sendAll(agent_protocol::crash_report{news}, &from);
    }

    /// Sends a message to all gateways, but for the one from which it came.
    void sendAll(const agent_protocol::message &message, const gateway_link *from = nullptr)
    {
        const std::string text = agent_protocol::encode(message);
        for (gateway_link &one : links) {
            if (!one.lost && &one != from) {
                one.connection->sendEncoded(text);
            }
        }
    }

    // Only agents send these two; a gateway that does is harmless.
    void take(gateway_link &, const agent_protocol::engine_status &)
    {
    }

    void take(gateway_link &, const agent_protocol::engine_change &)
    {
    }

    void scheduleTick(std::chrono::milliseconds delay)
    {
        timer.expires_after(delay);
        timer.async_wait([this](const std::error_code &error) {
            if (!error && !stopped) {
                tick();
            }
        });
    }

    void tick()
    {
        reportDue = true;
        work();
        publishIfDue();
        log::flush();
        scheduleTick(planner.hasPendingWork() ? activeInterval : idleInterval);
    }

    /// Gives the next order, or asks for a report if one is due.
    void work()
    {
        if (stopped || client->isBusy()) {
            return;
        }
        // A frozen process acts on what it believed before: it looks again first.
        const core::monotonic_time now = clock.now();
        if (!reportDue && now - reportedAt < idleInterval * 2) {
            if (const auto order = planner.nextOrder(now)) {
                give(*order);
                return;
            }
        }
        if (reportDue || now - reportedAt >= idleInterval * 2) {
            askForReport();
        }
    }

    void askForReport()
    {
        reportDue = false;
        client->call("GET", format.reportTarget(), "", callTimeout,
                     [this](const std::optional<http1::call_answer> &answer, const core::reason &why) {
                         takeReport(answer, why);
                     });
    }

    void takeReport(const std::optional<http1::call_answer> &answer, core::reason why)
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
        reportedAt = clock.now();
        if (report->startedAtMs != planner.report().startedAtMs) {
            failures.onEngineRestart(reportedAt);
        }
        planner.onReport(*std::move(report), reportedAt);
        if (!wasUp) {
            log::write(log::level::info, "engine answers",
                       {{"started_at_ms", planner.report().startedAtMs},
                        {"adapters", static_cast<std::uint64_t>(planner.report().adapters.size())}});
        }
        publishIfDue();
        work();
    }

    void give(const engine_order &order)
    {
        const std::uint64_t token = fence.current();
        orderedAt = clock.now();
        client->call("POST", format.orderTarget(), format.orderBody(order, settings.name, token), callTimeout,
                     [this, order, token](const std::optional<http1::call_answer> &answer, const core::reason &why) {
                         takeOrderEnd(order, token, answer, why);
                     });
    }

    void takeOrderEnd(const engine_order &order, std::uint64_t token, const std::optional<http1::call_answer> &answer,
                      const core::reason &why)
    {
        const order_result result = answer ? format.readOrderStatus(answer->status) : order_result::unknown;
        if (result == order_result::fenced) {
            fence.advance();
        }
        planner.onOrderResult(order, result, clock.now());
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
        work();
    }

    void publishIfDue()
    {
        const core::monotonic_time now = clock.now();
        agent_protocol::engine_status status = statusOf(planner, failures, now);
        for (const gateway_link &one : links) {
            status.load.pendingPromptTokens += one.lost ? 0 : one.pendingPromptTokens;
        }
        const agent_protocol::engine_change change = changeBetween(published, status);
        const bool other = isOtherEngine(published, status);
        const bool same = change.loaded.empty() && change.unloaded.empty() && !isNotable(published.load, status.load);
        if (!other && same && now - publishedAt < heartbeat) {
            return;
        }
        sendAll(other ? agent_protocol::message(status) : agent_protocol::message(change));
        published = std::move(status);
        publishedAt = now;
    }

    asio::io_context &context;
    agent_settings settings;
    const engine_format &format;
    const core::clock &clock;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer timer;
    std::unique_ptr<http1::call_client> client;
    http1::page_server pages;
    metrics::registry metrics;
    order_planner planner;
    failure_rate failures;
    suspects::suspect_table suspects{suspects::sharedLimits};
    fencing_token_source fence;
    std::list<gateway_link> links;
    agent_protocol::engine_status published;
    core::monotonic_time publishedAt{};
    core::monotonic_time reportedAt{};
    core::monotonic_time orderedAt{};
    std::uint64_t stateVersion = 0;
    bool reportDue = false;
    bool stopped = false;
};

agent_service::agent_service(asio::io_context &context, const agent_settings &settings, const engine_format &format,
                             const core::clock &clock)
    : m_impl(std::make_unique<impl>(context, settings, format, clock))
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
