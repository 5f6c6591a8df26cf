#include "admin_pages.hpp"
#include "load_reporter.hpp"
#include "platform_link.hpp"
#include "seal_client.hpp"
#include "service_options.hpp"

#include <medlarrack/adapter_cache/lru_eviction.hpp>
#include <medlarrack/adapter_cache/rate_limited_load_budget.hpp>
#include <medlarrack/http/client.hpp>
#include <medlarrack/http/server.hpp>
#include <medlarrack/log/log.hpp>
#include <medlarrack/metrics/registry.hpp>
#include <medlarrack/peer/client.hpp>
#include <medlarrack/peer/server.hpp>
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
} // namespace

class sidecar_service::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context &context, sidecar_settings settings, const core::clock &clock)
        : m_settings(std::move(settings))
        , m_clock(clock)
        , m_self(detail::makeSelf(m_settings, clock))
        , m_metrics(m_settings.maxMetricOperators)
        , m_journal(clock, m_settings.traceRequests, eventsPerRequest)
        , m_budget(m_settings.adapters.loadsPerSecond, static_cast<double>(m_settings.adapters.loadsAtOnce),
                   m_settings.adapters.loadsAtOnce, clock.now())
        , m_client(context)
        , m_driver(detail::makeDriver(m_settings, m_client))
        , m_peerClient(context, {},
                       [this] {
                           return hello();
                       })
        , m_platform(context, m_settings, clock, m_client, m_peerClient)
        , m_sealClient(m_peerClient, m_platform.view(), m_settings.group, m_self,
                       [this](const std::string &memberId, const std::string &key, const auto &reply) {
                           m_dispatcher.onSealReply(memberId, key, reply);
                       })
        , m_dispatcher(detail::makeOptions(m_settings, m_self), makeDependencies())
        , m_reporter(std::make_shared<detail::load_reporter>())
        , m_pages(
              m_metrics, m_journal,
              [this] {
                  return m_dispatcher.ready();
              },
              [this] {
                  return stateJson();
              })
        , m_account(detail::makeAccount(m_settings, clock))
        , m_peers(
              context, detail::peerLimits(m_settings, m_account),
              [this] {
                  return hello();
              },
              [this](const auto &from, peer::message &&message, const std::shared_ptr<peer::reply_stream> &reply) {
                  onMessage(from, std::move(message), reply);
              })
        , m_admin(context, detail::adminLimits(m_settings, m_account),
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
        m_platform.start(m_peers.port());
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
            if (self->m_drainStart) {
                return;
            }
            self->m_drainStart = self->m_clock.now();
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
        m_peerClient.stop();
        m_platform.stop();
        m_driver->stop();
    }

private:
    dispatcher_dependencies makeDependencies()
    {
        return {m_clock,
                *m_driver,
                m_eviction,
                m_budget,
                m_metrics,
                m_journal,
                [this] {
                    return m_platform.state().newest();
                },
                [this](const core::adapter_ref &adapter) {
                    return m_settings.platformUrl + "/v1/store/" + adapter.toString();
                },
                [this](const std::string &memberId, const std::string &key) {
                    m_sealClient.request(memberId, key);
                }};
    }

    peer::hello hello() const
    {
        peer::hello result;
        result.sender = m_self;
        result.dataCentre = m_settings.dataCentre;
        result.newestTicket = m_platform.state().newest();
        return result;
    }

    void onMessage(const peer::hello &from, peer::message message, const std::shared_ptr<peer::reply_stream> &reply)
    {
        if (auto *run = std::get_if<peer::run_request>(&message)) {
            m_platform.noteNewest(run->newestTicket, from.sender.id);
            applyWeight(run->operatorName);
            m_dispatcher.submit(std::move(*run), reply);
        } else if (const auto *watch = std::get_if<peer::watch_load>(&message)) {
            m_platform.noteNewest(watch->newestTicket, from.sender.id);
            m_reporter->add(reply, watch->shortestInterval, report(), m_clock.now());
        } else if (const auto *ticketsRequest = std::get_if<peer::tickets_request>(&message)) {
            reply->send(m_platform.answer(*ticketsRequest));
            reply->end();
        } else if (const auto *seal = std::get_if<peer::seal_request>(&message)) {
            answerSeal(*seal, *reply);
        } else {
            m_metrics.count("medlarrack_sidecar_unexpected_messages_total", "Messages that a sidecar doesn't take.",
                            {});
            reply->refuse();
        }
    }

    void answerSeal(const peer::seal_request &request, peer::reply_stream &reply)
    {
        if (request.service != m_settings.group) {
            reply.refuse();
            return;
        }
        reply.send(m_dispatcher.onSealRequest(request));
        reply.end();
    }

    void applyWeight(const std::string &operatorName)
    {
        if (const auto published = m_platform.state().findOperator(operatorName)) {
            m_dispatcher.setWeight(operatorName, published->weight);
        }
    }

    /// Passes changes of the instance list and the published group to the dispatcher.
    void applyPublishedState()
    {
        bool changed = false;
        if (const auto listed = m_platform.takeChangedGroup()) {
            m_dispatcher.onInstanceList(listed->asOf, listed->members);
            if (listed->selfLeaving) {
                m_dispatcher.drain();
            }
            changed = listed->activeCount != m_activeMembers;
            m_activeMembers = std::max<std::size_t>(listed->activeCount, 1);
        }
        auto group = m_platform.state().findGroup(m_settings.group);
        changed = changed || group != m_group;
        m_group = std::move(group);
        if (changed && m_group) {
            applyGroup();
        }
    }

    /// Applies the group's capacity. Each active sidecar of the group gets an equal share of the weight store's load
    /// rate.
    void applyGroup()
    {
        m_dispatcher.setCapacity(m_group->slots, m_group->batchSize);
        const auto members = static_cast<double>(m_activeMembers);
        m_dispatcher.update([&] {
            m_budget.configure(m_group->storeLoadsPerSecond / members, m_group->storeLoadsAtOnce,
                               std::max<std::size_t>(m_group->storeLoadsAtOnce / m_activeMembers, 1), m_clock.now());
        });
    }

    void updateLoadMetrics(const peer::load_report &load)
    {
        m_metrics.gauge("medlarrack_sidecar_running", "Requests at the target.", {}, load.running);
        m_metrics.gauge("medlarrack_sidecar_queued", "Requests in the queue.", {}, load.queued);
        m_metrics.gauge("medlarrack_sidecar_places", "Requests that the target runs at once; 0 while it is down.", {},
                        load.batchSize);
        m_metrics.gauge("medlarrack_sidecar_held_bytes", "Bytes of requests and replies held for peers.", {},
                        static_cast<double>(m_account->heldBytes()));
        m_metrics.gauge("medlarrack_sidecar_refused_peers",
                        "Peers turned away since the start because they or others are outside the limits.", {},
                        static_cast<double>(m_account->turnedAway()));
    }

    peer::load_report report() const
    {
        const dispatcher_state state = m_dispatcher.state();
        peer::load_report result;
        result.sender = m_self;
        result.running = static_cast<std::uint32_t>(state.running);
        result.queued = static_cast<std::uint32_t>(state.queued);
        // A target that doesn't answer has no capacity.
        result.batchSize = state.targetUp ? static_cast<std::uint32_t>(state.concurrency) : 0;
        result.slots = static_cast<std::uint32_t>(state.slots);
        result.leaving = state.draining || state.superseded;
        result.adapters = state.adapters;
        result.newestTicket = m_platform.state().newest();
        return result;
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
                                       {"keys", state.keys},
                                       {"newest_ticket", m_platform.state().newest()},
                                       {"load_watchers", m_reporter->watchers()},
                                       {"platform", nlohmann::json::parse(m_platform.statusJson())}};
        return answer.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    }

    void tick()
    {
        if (m_stopped) {
            return;
        }
        applyPublishedState();
        m_dispatcher.tick();
        const auto now = m_clock.now();
        if (m_reporter->due(now)) {
            const peer::load_report load = report();
            updateLoadMetrics(load);
            m_reporter->publish(load, now);
        }
        if (m_drainStart && drained(now)) {
            if (const auto callback = std::exchange(m_onDrained, nullptr)) {
                callback();
            }
        }
        m_timer.expires_after(tickInterval);
        // A weak pointer, so that handlers left in the io_context don't keep the service alive.
        m_timer.async_wait([weak = weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (!error && self) {
                self->tick();
            }
        });
    }

    /// Whether the process may exit: no requests are left and all answers have been read, or the longest wait is over.
    bool drained(core::monotonic_time now)
    {
        if (now - *m_drainStart >= m_settings.drain.maxWait) {
            return true;
        }
        if (!m_closing) {
            // By the end of the grace period entries know that this sidecar is leaving; those that don't are still
            // answered.
            if (now - *m_drainStart < m_settings.drain.grace || !m_dispatcher.idle()) {
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
    adapter_cache::lru_eviction m_eviction;
    adapter_cache::rate_limited_load_budget m_budget;
    http::client m_client;
    std::unique_ptr<engine::target_driver> m_driver;
    peer::client m_peerClient;
    detail::platform_link m_platform;
    detail::seal_client m_sealClient;
    dispatcher m_dispatcher;
    std::shared_ptr<detail::load_reporter> m_reporter;
    detail::admin_pages m_pages;
    const std::shared_ptr<overload::shared_byte_account> m_account;
    peer::server m_peers;
    http::server m_admin;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::steady_timer m_timer;
    std::atomic<bool> m_stopped{false};
    /// Accessed on the strand only, like the members below.
    std::optional<core::monotonic_time> m_drainStart;
    bool m_closing = false;
    /// Published state of the group that was last passed to the dispatcher.
    std::shared_ptr<const tickets::group_state> m_group;
    std::size_t m_activeMembers = 1;
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
