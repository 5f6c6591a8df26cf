#include "admin_pages.hpp"
#include "load_reporter.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/engine/http_engine_driver.hpp>
#include <medlarrack/engine/http_service_driver.hpp>
#include <medlarrack/http/client.hpp>
#include <medlarrack/http/server.hpp>
#include <medlarrack/log/log.hpp>
#include <medlarrack/metrics/registry.hpp>
#include <medlarrack/peer/server.hpp>
#include <medlarrack/placement/lru_eviction.hpp>
#include <medlarrack/placement/paced_load_budget.hpp>
#include <medlarrack/sidecar/dispatcher.hpp>
#include <medlarrack/sidecar/request_journal.hpp>
#include <medlarrack/sidecar/sidecar_service.hpp>

#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <utility>

namespace medlarrack::sidecar {
namespace {

constexpr std::chrono::milliseconds tickInterval{20};
constexpr std::size_t eventsPerRequest = 32;
/// Concurrency of a plain service unless its settings name one.
constexpr std::size_t serviceConcurrency = 64;

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

} // namespace

class sidecar_service::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context &context, sidecar_settings settings, const core::clock &clock)
        : m_settings(std::move(settings))
        , m_clock(clock)
        , m_self(makeSelf(m_settings, clock))
        , m_metrics(m_settings.maxMetricOperators)
        , m_journal(clock, m_settings.traceRequests, eventsPerRequest)
        , m_budget(m_settings.adapters.loadsPerSecond, static_cast<double>(m_settings.adapters.loadsAtOnce),
                   m_settings.adapters.loadsAtOnce, clock.now())
        , m_client(context)
        , m_driver(makeDriver(m_settings, m_client))
        , m_dispatcher(makeOptions(m_settings, m_self), makeParts())
        , m_reporter(std::make_shared<detail::load_reporter>())
        , m_pages(
              m_metrics, m_journal,
              [this] {
                  return m_dispatcher.ready();
              },
              [this] {
                  return stateJson();
              })
        , m_peers(
              context, peerLimits(),
              [this] {
                  return hello();
              },
              [this](const auto &from, peer::message message, std::shared_ptr<peer::reply_stream> reply) {
                  onMessage(from, std::move(message), std::move(reply));
              })
        , m_admin(context, adminLimits(),
                  [this](const http::request &request, const std::shared_ptr<http::responder> &answer) {
                      m_pages.handle(request, *answer);
                  })
        , m_strand(asio::make_strand(context))
        , m_timer(m_strand)
    {
    }

    bool start(core::reason &why)
    {
        const auto &peers = m_settings.peers;
        const auto &admin = m_settings.admin;
        if (!m_peers.start(peers.address, peers.port, why) || !m_admin.start(admin.address, admin.port, why)) {
            return false;
        }
        asio::post(m_strand, [self = shared_from_this()] {
            self->tick();
        });
        return true;
    }

    std::uint16_t peersPort() const
    {
        return m_peers.port();
    }

    std::uint16_t adminPort() const
    {
        return m_admin.port();
    }

    void drain(std::function<void()> onDrained)
    {
        asio::post(m_strand, [self = shared_from_this(), onDrained = std::move(onDrained)]() mutable {
            if (self->m_draining) {
                return;
            }
            self->m_draining = self->m_clock.now();
            self->m_onDrained = std::move(onDrained);
            log::write(log::level::info, "draining", {{"target", self->m_settings.target.url}});
            self->m_dispatcher.drain();
            self->m_reporter->publish(self->report(), self->m_clock.now());
        });
    }

    void stop()
    {
        m_stopped = true;
        m_admin.stop();
        m_peers.stop();
        m_driver->stop();
    }

private:
    dispatcher_parts makeParts()
    {
        return {m_clock,
                *m_driver,
                m_eviction,
                m_budget,
                m_metrics,
                m_journal,
                [] {
                    return std::uint64_t{0};
                },
                [this](const core::adapter_ref &adapter) {
                    return m_settings.platformUrl + "/v1/store/" + adapter.toString();
                },
                [this](const std::string &memberId, const std::string &key) {
                    askSeal(memberId, key);
                }};
    }

    void askSeal(const std::string &memberId, const std::string &key)
    {
        m_dispatcher.onSealReply(memberId, key, std::nullopt);
    }

    peer::server_limits peerLimits() const
    {
        peer::server_limits limits;
        limits.maxConnections = m_settings.peers.maxConnections;
        return limits;
    }

    http::server_limits adminLimits() const
    {
        http::server_limits limits;
        limits.maxConnections = m_settings.admin.maxConnections;
        limits.maxBodyBytes = 0;
        return limits;
    }

    peer::hello hello() const
    {
        peer::hello said;
        said.sender = m_self;
        said.dataCentre = m_settings.dataCentre;
        return said;
    }

    void onMessage(const peer::hello & /*from*/, peer::message message, std::shared_ptr<peer::reply_stream> reply)
    {
        if (auto *run = std::get_if<peer::run_request>(&message)) {
            m_dispatcher.submit(std::move(*run), std::move(reply));
        } else if (std::holds_alternative<peer::watch_load>(message)) {
            m_reporter->add(std::move(reply), report());
        } else {
            m_metrics.count("medlarrack_sidecar_unexpected_messages_total", "Messages that a sidecar doesn't take.",
                            {});
            reply->refuse();
        }
    }

    peer::load_report report() const
    {
        const dispatcher_state state = m_dispatcher.state();
        peer::load_report said;
        said.sender = m_self;
        said.running = static_cast<std::uint32_t>(state.running);
        said.queued = static_cast<std::uint32_t>(state.queued);
        // A target that doesn't answer has room for nothing.
        said.batchSize = state.targetUp ? static_cast<std::uint32_t>(state.concurrency) : 0;
        said.slots = static_cast<std::uint32_t>(state.slots);
        said.leaving = state.draining || state.superseded;
        said.adapters = state.adapters;
        return said;
    }

    std::string stateJson() const
    {
        const dispatcher_state state = m_dispatcher.state();
        auto adapters = nlohmann::json::array();
        for (const core::adapter_ref &adapter : state.adapters) {
            adapters.push_back(adapter.toString());
        }
        const nlohmann::json answer = {{"instance", m_self.id},
                                       {"incarnation", m_self.incarnation},
                                       {"group", m_settings.group},
                                       {"target", m_settings.target.url},
                                       {"target_up", state.targetUp},
                                       {"target_started_ms", state.targetStartedMs},
                                       {"queued", state.queued},
                                       {"running", state.running},
                                       {"concurrency", state.concurrency},
                                       {"slots", state.slots},
                                       {"adapters", std::move(adapters)},
                                       {"draining", state.draining},
                                       {"superseded", state.superseded},
                                       {"pauses", state.pauses},
                                       {"load_watchers", m_reporter->watchers()}};
        return answer.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    }

    void tick()
    {
        if (m_stopped) {
            return;
        }
        m_dispatcher.tick();
        const auto now = m_clock.now();
        if (m_reporter->due(now)) {
            m_reporter->publish(report(), now);
        }
        if (m_draining && drained(now)) {
            if (const auto callback = std::exchange(m_onDrained, nullptr)) {
                callback();
            }
        }
        m_timer.expires_after(tickInterval);
        // Weak, so that what is left in the io_context at the end doesn't keep the service alive.
        m_timer.async_wait([weak = weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (!error && self) {
                self->tick();
            }
        });
    }

    /// Whether the process may end: no work is left and all answers have been taken, or the time is up.
    bool drained(core::monotonic_time now)
    {
        if (now - *m_draining >= m_settings.drain.maxWait) {
            return true;
        }
        if (!m_closing) {
            // Entries have heard of the leaving by now; those that haven't are still answered.
            if (now - *m_draining < m_settings.drain.grace || !m_dispatcher.idle()) {
                return false;
            }
            m_closing = true;
            m_reporter->close();
            m_peers.drain();
        }
        return m_peers.connections() == 0;
    }

    const sidecar_settings m_settings;
    const core::clock &m_clock;
    const core::instance_ref m_self;
    metrics::registry m_metrics;
    request_journal m_journal;
    placement::lru_eviction m_eviction;
    placement::paced_load_budget m_budget;
    http::client m_client;
    std::unique_ptr<engine::target_driver> m_driver;
    dispatcher m_dispatcher;
    std::shared_ptr<detail::load_reporter> m_reporter;
    detail::admin_pages m_pages;
    peer::server m_peers;
    http::server m_admin;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::steady_timer m_timer;
    std::atomic<bool> m_stopped{false};
    /// Used on the strand only.
    std::optional<core::monotonic_time> m_draining;
    bool m_closing = false;
    std::function<void()> m_onDrained;
};

sidecar_service::sidecar_service(asio::io_context &context, sidecar_settings settings, const core::clock &clock)
    : m_impl(std::make_shared<impl>(context, std::move(settings), clock))
{
}

sidecar_service::~sidecar_service()
{
    m_impl->stop();
}

bool sidecar_service::start(core::reason &why)
{
    return m_impl->start(why);
}

std::uint16_t sidecar_service::peersPort() const
{
    return m_impl->peersPort();
}

std::uint16_t sidecar_service::adminPort() const
{
    return m_impl->adminPort();
}

void sidecar_service::drain(std::function<void()> onDrained)
{
    m_impl->drain(std::move(onDrained));
}

void sidecar_service::stop()
{
    m_impl->stop();
}

} // namespace medlarrack::sidecar
