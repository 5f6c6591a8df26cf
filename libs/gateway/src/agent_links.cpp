#include "agent_links.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/log/log.hpp>

#include <asio/ip/address_v4.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace medlarrack::gateway {

namespace {

constexpr std::chrono::milliseconds connectTimeout{400};
constexpr std::chrono::milliseconds reconnectPause{250};
/// Three heartbeats of an agent.
constexpr std::chrono::milliseconds silenceLimit{1'500};
/// Agents that are told of crashes: one of them passes them on though two are lost with their data centres.
constexpr std::size_t agentsTold = 3;
/// Change of the requests for one adapter that is told though the adapters are the same.
constexpr std::uint32_t notableCountChange = 4;

using use_counts = std::map<std::string, std::uint32_t, std::less<>>;

bool differsNotably(const use_counts &told, const use_counts &now)
{
    return told.size() != now.size()
        || !std::equal(told.begin(), told.end(), now.begin(), [](const auto &left, const auto &right) {
               const std::uint32_t low = std::min(left.second, right.second);
               const std::uint32_t high = std::max(left.second, right.second);
               return left.first == right.first && high - low < notableCountChange;
           });
}

void takeFailing(replica &at, std::uint32_t failing)
{
    const bool was = at.agent->failing >= failingTooOften;
    at.agent->failing = failing;
    if (was != (failing >= failingTooOften)) {
        log::write(log::level::info, was ? "replica fails less" : "replica fails",
                   {{"replica", at.record.id}, {"failing_percent", failing}});
    }
}

} // namespace

agent_links::agent_links(asio::io_context &context, const core::clock &clock, std::string name, std::uint16_t agentPort,
                         replica_table &replicas, const catalog::route_table &routes, suspects::crash_detector &crashes,
                         std::function<void(const replica_ptr &)> onStatus)
    : m_context(context)
    , m_clock(clock)
    , m_name(std::move(name))
    , m_agentPort(agentPort)
    , m_replicas(replicas)
    , m_routes(routes)
    , m_crashes(crashes)
    , m_onStatus(std::move(onStatus))
{
}

agent_links::~agent_links() = default;

bool agent_links::want(const replica_ptr &at, std::string_view adapter)
{
    const auto found = m_links.find(at->record.id);
    if (found == m_links.end() || found->second.connection == nullptr) {
        return false;
    }
    found->second.connection->send(agent_protocol::load_request{{std::string(adapter)}});
    if (at->agent) {
        // What the agent will say of it is on its way back.
        if (at->agent->room > 0) {
            --at->agent->room;
        } else {
            ++at->agent->wanted;
        }
    }
    return true;
}

void agent_links::tell(const core::crash_news &news)
{
    if (news.empty()) {
        return;
    }
    // The same agents for all gateways as long as these see the same ones; which they are doesn't matter.
    std::vector<std::pair<std::uint64_t, agent_protocol::link_connection *>> linked;
    for (const auto &[id, one] : m_links) {
        if (one.connected) {
            linked.emplace_back(core::hash64(id), one.connection.get());
        }
    }
    const std::size_t told = std::min(agentsTold, linked.size());
    std::partial_sort(linked.begin(), linked.begin() + static_cast<std::ptrdiff_t>(told), linked.end());
    const std::string text = agent_protocol::encode(agent_protocol::crash_report{news});
    for (std::size_t index = 0; index < told; ++index) {
        linked[index].second->sendEncoded(text);
    }
    log::write(log::level::info, "crash news told",
               {{"crashes", static_cast<std::uint64_t>(news.crashes.size())},
                {"acquittals", static_cast<std::uint64_t>(news.acquittals.size())},
                {"agents", static_cast<std::uint64_t>(told)}});
}

void agent_links::takeNews(const std::string &from, agent_link &to, const core::crash_news &told)
{
    const core::monotonic_time now = m_clock.now();
    const suspects::merge_result merged = m_crashes.merge(told, now);
    for (const core::crash_record &one : merged.added.crashes) {
        log::write(log::level::info, "crash told by another gateway",
                   {{"fingerprint", one.fingerprint},
                    {"age_ms", one.age.count()},
                    {"ran_ms", one.ran.count()},
                    {"probe", one.probe},
                    {"by_agent", from},
                    {"refused", m_crashes.statusOf(one.fingerprint, now) == suspects::suspect_status::refused}});
    }
    if (!merged.missedAcquittals.empty()) {
        to.connection->send(agent_protocol::crash_report{{{}, merged.missedAcquittals}});
        log::write(log::level::info, "agent told of answers that it had not heard of",
                   {{"replica", from}, {"acquittals", static_cast<std::uint64_t>(merged.missedAcquittals.size())}});
    }
}

void agent_links::tick()
{
    const core::monotonic_time now = m_clock.now();
    std::erase_if(m_links, [this](const auto &entry) {
        return m_replicas.find(entry.first) == nullptr;
    });
    std::vector<std::string> silent;
    for (const auto &[id, known] : m_replicas.all()) {
        const catalog::service *service = m_routes.findService(known->record.service);
        if (service == nullptr || !service->engine) {
            continue;
        }
        agent_link &one = m_links[id];
        if (one.connection == nullptr) {
            if (now >= one.nextTry) {
                open(known, one);
            }
        } else if (now - one.heardAt > silenceLimit) {
            silent.push_back(id);
        } else if (one.connected) {
            feed(*known, one);
        }
    }
    for (const std::string &id : silent) {
        lose(id, "silent");
    }
}

void agent_links::open(const replica_ptr &to, agent_link &one)
{
    const std::string id = to->record.id;
    one = {};
    one.heardAt = m_clock.now();
    one.connection = std::make_unique<agent_protocol::link_connection>(
        std::make_shared<http1::byte_stream>(m_context),
        [this, id](const agent_protocol::message &message) {
            take(id, message);
        },
        [this, id](std::string_view why) {
            lose(id, why);
        });
    std::error_code ignored;
    one.connection->connect({asio::ip::make_address_v4(to->record.address, ignored), m_agentPort}, connectTimeout);
    one.connection->send(agent_protocol::greeting{.name = m_name});
}

void agent_links::take(const std::string &id, const agent_protocol::message &message)
{
    const auto found = m_links.find(id);
    const replica_ptr known = m_replicas.find(id);
    if (found == m_links.end() || known == nullptr) {
        return;
    }
    const core::monotonic_time now = m_clock.now();
    found->second.heardAt = now;
    if (const auto *status = std::get_if<agent_protocol::engine_status>(&message)) {
        const bool sameStart = known->agent && known->agent->startedAtMs == status->startedAtMs;
        if (known->agent && known->agent->engineUp && (!sameStart || !status->engineUp)) {
            m_crashes.recordTargetEnd(id, now);
        }
        const core::monotonic_time startKnownAt = sameStart ? known->agent->startKnownAt : now;
        recent_adapters recent = sameStart ? std::move(known->agent->recent) : recent_adapters();
        for (const auto &[adapter, version] : status->adapters) {
            recent.add(adapter);
        }
        known->agent = agent_status{status->engineUp,     status->startedAtMs, status->models,       status->adapters,
                                    status->load.running, status->load.queued, status->load.wanted,  now,
                                    status->load.room,    std::move(recent),   status->load.failing, 0,
                                    startKnownAt};
        if (!sameStart && known->awaitsListing(now)) {
            log::write(log::level::info, "replica started anew and isn't listed yet",
                       {{"replica", id}, {"started_at_ms", status->startedAtMs}});
        }
        if (!found->second.connected) {
            found->second.connected = true;
            log::write(log::level::info, "agent link made", {{"replica", id}});
            // The agent may have started anew.
            if (const core::crash_news all = m_crashes.snapshot(now); !all.empty()) {
                found->second.connection->send(agent_protocol::crash_report{all});
            }
            feed(*known, found->second);
        }
    } else if (const auto *change = std::get_if<agent_protocol::engine_change>(&message);
               change != nullptr && known->agent) {
        for (const auto &[adapter, version] : change->loaded) {
            known->agent->adapters[adapter] = version;
            known->agent->recent.add(adapter);
        }
        for (const std::string &adapter : change->unloaded) {
            known->agent->adapters.erase(adapter);
            known->agent->recent.add(adapter);
        }
        known->agent->running = change->load.running;
        known->agent->queued = change->load.queued;
        known->agent->wanted = change->load.wanted;
        known->agent->room = change->load.room;
        takeFailing(*known, change->load.failing);
        // What this process has told is a part of it.
        known->agent->othersUnread =
            change->load.unreadTokens - std::min(change->load.unreadTokens, found->second.toldUnread);
        known->agent->at = now;
    } else if (const auto *report = std::get_if<agent_protocol::crash_report>(&message)) {
        takeNews(id, found->second, report->news);
        return;
    } else {
        return;
    }
    known->tellLoad(known->agent->running + known->agent->queued, now);
    m_onStatus(known);
}

void agent_links::lose(const std::string &id, std::string_view why)
{
    const auto found = m_links.find(id);
    if (found == m_links.end() || found->second.connection == nullptr) {
        return;
    }
    if (found->second.connected) {
        log::write(log::level::warning, "agent link lost", {{"replica", id}, {"why", why}});
    }
    // The connection may be what calls: it is destroyed after its call has returned.
    asio::post(m_context,
               [old = std::shared_ptr<agent_protocol::link_connection>(std::move(found->second.connection))] {});
    found->second = {};
    found->second.nextTry = m_clock.now() + reconnectPause;
    if (const replica_ptr known = m_replicas.find(id); known != nullptr && known->agent) {
        // The instance list goes on telling what the engine holds, if late.
        known->record.models = known->agent->models;
        known->record.adapters = known->agent->adapters;
        known->agent.reset();
        m_onStatus(known);
    }
}

void agent_links::feed(replica &of, agent_link &one)
{
    const catalog::service *service = m_routes.findService(of.record.service);
    if (service != nullptr && service->engine && one.toldStateVersion != m_routes.version()) {
        one.toldStateVersion = m_routes.version();
        agent_protocol::service_facts facts;
        facts.stateVersion = m_routes.version();
        facts.service = service->name;
        for (const catalog::base_model &model : service->engine->models) {
            facts.models.push_back({model.name, model.weightsMb, model.adapterMb});
        }
        facts.weightsMb = service->engine->weightsMb;
        facts.adapterSlots = service->engine->adapterSlots;
        one.connection->send(facts);
    }
    if (one.toldReleases != m_replicas.releaseCount()) {
        one.toldReleases = m_replicas.releaseCount();
        one.connection->send(agent_protocol::adapter_releases{m_replicas.releases()});
    }
    const std::uint64_t unreadChange = std::max(of.unread, one.toldUnread) - std::min(of.unread, one.toldUnread);
    if (differsNotably(one.toldInUse, of.byAdapter) || of.untold.failed > 0
        || unreadChange >= agent_protocol::notableTokens) {
        one.connection->send(
            agent_protocol::adapters_in_use{of.byAdapter, of.untold.succeeded, of.untold.failed, of.unread});
        one.toldInUse = of.byAdapter;
        one.toldUnread = of.unread;
        of.untold = {};
    }
}

} // namespace medlarrack::gateway
