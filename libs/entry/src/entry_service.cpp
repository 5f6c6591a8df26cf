#include "http_frontend.hpp"
#include "load_watcher.hpp"
#include "shared_tables.hpp"

#include <medlarrack/entry/entry_service.hpp>
#include <medlarrack/entry/sidecar_link.hpp>
#include <medlarrack/http/server.hpp>
#include <medlarrack/http1/peer_connections.hpp>
#include <medlarrack/instances/view.hpp>
#include <medlarrack/log/log.hpp>
#include <medlarrack/log/turned_away.hpp>
#include <medlarrack/overload/shared_byte_account.hpp>
#include <medlarrack/tickets/state.hpp>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <utility>

namespace medlarrack::entry {

namespace {

using namespace std::chrono_literals;

constexpr auto tickInterval = 250ms;
/// Delay between the end of the last request and the closing of the connections, for responses still being written.
constexpr auto flushDelay = 250ms;
/// Time for the requests that a drain ends itself.
constexpr auto maxEndingTime = 1'000ms;
constexpr std::size_t maxDebugTargets = 1'000;

/// What one read of a connection adds to a body at most.
constexpr std::size_t bodyStep = 65'536;
/// Longest bodies for which the process has room, unless its settings say otherwise.
constexpr std::size_t heldBodies = 16;
/// Part of the connections of peers that is for readers of pages where they have a port of their own.
constexpr std::size_t pageConnectionsDivisor = 6;

std::shared_ptr<overload::shared_byte_account> makeAccount(const listen_settings &settings, const core::clock &clock)
{
    const std::size_t limit = settings.maxHeldBytes != 0
        ? settings.maxHeldBytes
        : heldBodies * std::max(settings.maxBodyBytes, settings.maxBufferedBytes);
    return std::make_shared<overload::shared_byte_account>(limit, settings.maxBodyBytes, bodyStep, clock,
                                                           log::writeTurnedAway);
}

http::server_limits serverLimits(const listen_settings &settings, std::size_t maxConnections,
                                 std::shared_ptr<core::byte_budget> budget)
{
    return {settings.maxBodyBytes, settings.maxHeaderBytes, std::min(settings.maxConnections, maxConnections),
            settings.readTimeout,  settings.writeTimeout,   settings.maxBufferedBytes,
            std::move(budget)};
}

} // namespace

class entry_service::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(entry_settings settings, const entry_dependencies &dependencies)
        : m_context(dependencies.context)
        , m_clock(dependencies.clock)
        , m_tickets(dependencies.tickets)
        , m_instances(dependencies.instances)
        , m_isStateLoaded(dependencies.isStateLoaded)
        , m_readerState(dependencies.readerState)
        , m_tables(std::make_shared<shared_tables>(std::move(settings), dependencies))
        , m_settings(m_tables->settings)
        , m_account(makeAccount(m_settings.callers, m_clock))
        , m_watcher(std::make_shared<load_watcher>(std::shared_ptr<target_directory>(m_tables, &m_tables->targets),
                                                   dependencies.link, m_clock, m_settings.routing.maxLoadWatches))
        , m_frontend(m_context, shared_tables::environment(m_tables), m_tables->admission, m_tables->registry, hooks())
        , m_strand(asio::make_strand(m_context))
        , m_tick(m_strand)
        , m_drainTimer(m_strand)
    {
    }

    bool start(core::reason &why)
    {
        if (!listen(m_callerServer, m_settings.callers, false, why)) {
            return false;
        }
        if (m_settings.admin && !listen(m_adminServer, *m_settings.admin, true, why)) {
            return false;
        }
        scheduleTick();
        return true;
    }

    void drain(std::function<void()> onDrained)
    {
        asio::post(m_strand, [self = shared_from_this(), onDrained = std::move(onDrained)]() mutable {
            self->beginDrain(std::move(onDrained));
        });
    }

    void stop()
    {
        m_watcher->stop();
        if (m_callerServer) {
            m_callerServer->stop();
        }
        if (m_adminServer) {
            m_adminServer->stop();
        }
        asio::post(m_strand, [self = shared_from_this()] {
            self->m_stopped = true;
            self->m_tick.cancel();
            self->m_drainTimer.cancel();
        });
    }

    [[nodiscard]] std::uint16_t callersPort() const
    {
        return m_callerServer->port();
    }

    [[nodiscard]] std::optional<std::uint16_t> adminPort() const
    {
        return m_adminServer ? std::optional(m_adminServer->port()) : std::nullopt;
    }

    [[nodiscard]] std::size_t inFlight() const
    {
        return m_tables->admission.inFlight();
    }

private:
    frontend_hooks hooks()
    {
        frontend_hooks result;
        result.notReadyReason = [this] {
            return notReadyReason();
        };
        result.stateUnknownReason = [this] {
            return stateUnknownReason();
        };
        result.debugState = [this] {
            return debugState();
        };
        result.refreshMetrics = [this] {
            refreshMetrics();
        };
        return result;
    }

    bool listen(std::unique_ptr<http::server> &server, const listen_settings &settings, bool admin, core::reason &why)
    {
        http::request_handler handler;
        if (admin) {
            handler = [this](const http::request &request, const std::shared_ptr<http::responder> &responder) {
                m_frontend.handleAdmin(request, *responder);
            };
        } else {
            handler = [this](const http::request &request, const std::shared_ptr<http::responder> &responder) {
                m_frontend.handleCaller(request, responder, !m_settings.admin);
            };
        }
        const std::size_t connections = http1::maxPeerConnections();
        const std::size_t pageConnections =
            m_settings.admin ? std::max<std::size_t>(connections / pageConnectionsDivisor, 1) : 0;
        server = std::make_unique<http::server>(
            m_context, serverLimits(settings, admin ? pageConnections : connections - pageConnections, m_account),
            std::move(handler));
        return server->start(settings.address, settings.port, why);
    }

    [[nodiscard]] std::string notReadyReason() const
    {
        return m_draining ? "draining" : stateUnknownReason();
    }

    [[nodiscard]] std::string stateUnknownReason() const
    {
        if (m_isStateLoaded && !m_isStateLoaded()) {
            return "the state in force has not been learnt yet";
        }
        if (!m_instances.lastRead()) {
            return "no instance list has been read yet";
        }
        return {};
    }

    [[nodiscard]] std::string debugState() const
    {
        const nlohmann::json state = {
            {"instance", m_settings.instanceId},
            {"data_centre", m_settings.dataCentre},
            {"draining", m_draining.load()},
            {"not_ready", notReadyReason()},
            {"newest_ticket", m_tickets.newest()},
            {"contiguous_ticket", m_tickets.contiguous()},
            {"adapters", m_tickets.adapterCount()},
            {"reader", m_readerState ? nlohmann::json::parse(m_readerState()) : nlohmann::json()},
            {"in_flight", m_tables->admission.inFlight()},
            {"in_flight_by_operator", m_tables->admission.inFlightByOperator()},
            {"load_watches", m_watcher->watches()},
            {"suspects", m_tables->suspects.size()},
            {"groups", nlohmann::json::parse(m_tables->targets.debugJson(maxDebugTargets))},
            {"changes", nlohmann::json::parse(m_tables->trace.changesJson())},
        };
        return state.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    void refreshMetrics()
    {
        m_tables->registry.gauge("medlarrack_entry_in_flight", "Requests in flight", {},
                                 static_cast<double>(m_tables->admission.inFlight()));
        m_tables->registry.gauge("medlarrack_entry_newest_ticket", "Newest change ticket in force", {},
                                 static_cast<double>(m_tickets.newest()));
        m_tables->registry.gauge("medlarrack_entry_suspects", "Fingerprints remembered as suspects", {},
                                 static_cast<double>(m_tables->suspects.size()));
        m_tables->registry.gauge("medlarrack_entry_load_watches", "Load streams open", {},
                                 static_cast<double>(m_watcher->watches()));
        m_tables->registry.gauge("medlarrack_entry_held_bytes", "Bytes of requests and responses held for callers", {},
                                 static_cast<double>(m_account->heldBytes()));
        m_tables->registry.gauge("medlarrack_entry_refused_peers",
                                 "Peers turned away since the start because they or others are outside the limits", {},
                                 static_cast<double>(m_account->turnedAway()));
    }

    void scheduleTick()
    {
        m_tick.expires_after(tickInterval);
        // A weak pointer, so that a handler left in the io_context at shutdown doesn't keep the entry alive.
        m_tick.async_wait([weak = weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (!error && self && !self->m_stopped) {
                self->m_watcher->tick(self->m_tickets.newest());
                self->scheduleTick();
            }
        });
    }

    void beginDrain(std::function<void()> onDrained)
    {
        if (m_draining) {
            return;
        }
        m_draining = true;
        m_onDrained = std::move(onDrained);
        m_tables->trace.change(m_clock.wallNow(), "entry", "draining", "asked to stop");
        log::write(log::level::info, "draining", {{"in_flight", std::uint64_t{m_tables->admission.inFlight()}}});
        m_drainTimer.expires_after(m_settings.drain.grace);
        m_drainTimer.async_wait([self = shared_from_this()](const std::error_code &error) {
            if (!error) {
                self->m_frontend.refuseNewRequests();
                self->m_callerServer->stopAccepting();
                self->m_drainDeadline = self->m_clock.now() + self->m_settings.drain.maxWait;
                self->waitForRequests();
            }
        });
    }

    void waitForRequests()
    {
        constexpr auto pollInterval = 20ms;
        const std::size_t remaining = m_tables->admission.inFlight();
        const bool timedOut = m_clock.now() >= m_drainDeadline;
        if (remaining > 0 && timedOut && !m_endingRequests) {
            log::write(log::level::warning, "drain timed out; ending the requests in flight",
                       {{"in_flight", std::uint64_t{remaining}}});
            m_endingRequests = true;
            m_drainDeadline = m_clock.now() + maxEndingTime;
            m_frontend.endRequests();
        } else if (timedOut || remaining == 0) {
            finishDrain(remaining);
            return;
        }
        m_drainTimer.expires_after(pollInterval);
        m_drainTimer.async_wait([self = shared_from_this()](const std::error_code &error) {
            if (!error) {
                self->waitForRequests();
            }
        });
    }

    void finishDrain(std::size_t remaining)
    {
        if (remaining > 0) {
            log::write(log::level::warning, "requests didn't end in time; dropping them",
                       {{"in_flight", std::uint64_t{remaining}}});
        }
        m_drainTimer.expires_after(flushDelay);
        m_drainTimer.async_wait([self = shared_from_this()](const std::error_code &error) {
            if (!error) {
                self->m_onDrained();
            }
        });
    }

    asio::io_context &m_context;
    const core::clock &m_clock;
    const tickets::state &m_tickets;
    const instances::view &m_instances;
    const std::function<bool()> m_isStateLoaded;
    const std::function<std::string()> m_readerState;
    const std::shared_ptr<shared_tables> m_tables;
    const entry_settings &m_settings;
    const std::shared_ptr<overload::shared_byte_account> m_account;
    const std::shared_ptr<load_watcher> m_watcher;
    http_frontend m_frontend;
    std::unique_ptr<http::server> m_callerServer;
    std::unique_ptr<http::server> m_adminServer;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::steady_timer m_tick;
    asio::steady_timer m_drainTimer;
    std::function<void()> m_onDrained;
    core::monotonic_time m_drainDeadline{};
    bool m_endingRequests = false;
    std::atomic<bool> m_draining{false};
    bool m_stopped = false;
};

entry_service::entry_service(entry_settings settings, const entry_dependencies &dependencies)
    : m_impl(std::make_shared<impl>(std::move(settings), dependencies))
{
}

entry_service::~entry_service() = default;

bool entry_service::start(core::reason &why)
{
    return m_impl->start(why);
}

std::uint16_t entry_service::callersPort() const
{
    return m_impl->callersPort();
}

std::optional<std::uint16_t> entry_service::adminPort() const
{
    return m_impl->adminPort();
}

void entry_service::drain(std::function<void()> onDrained)
{
    m_impl->drain(std::move(onDrained));
}

void entry_service::stop()
{
    m_impl->stop();
}

std::size_t entry_service::inFlight() const
{
    return m_impl->inFlight();
}

} // namespace medlarrack::entry
