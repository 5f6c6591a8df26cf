#include "agent_links.hpp"

#include "tenant_buckets.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/log/log.hpp>

#include <asio/ip/address_v4.hpp>

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace medlarrack::gateway {

namespace {

constexpr std::chrono::milliseconds connectTimeout{400};
constexpr std::chrono::milliseconds reconnectDelay{250};
/// Three heartbeat intervals of an agent.
constexpr std::chrono::milliseconds silenceTimeout{1'500};
/// Agents that get a crash report: one is left to forward it if two are lost with their data centres.
constexpr std::size_t crashReportFanout = 3;
/// Change in the number of requests for one adapter that is reported although the set of adapters is the same.
constexpr std::uint32_t minReportedCountChange = 4;
/// Shortest interval between two reports of the same tenant.
constexpr std::chrono::milliseconds usageReportInterval{100};

using request_counts = std::map<std::string, std::uint32_t, std::less<>>;

bool differsSignificantly(const request_counts &lastSent, const request_counts &current)
{
    return lastSent.size() != current.size()
        || !std::equal(lastSent.begin(), lastSent.end(), current.begin(), [](const auto &left, const auto &right) {
               const std::uint32_t low = std::min(left.second, right.second);
               const std::uint32_t high = std::max(left.second, right.second);
               return left.first == right.first && high - low < minReportedCountChange;
           });
}

/// Takes over the load that an agent reported, apart from what depends on this process.
void updateLoad(agent_status &status, const agent_protocol::engine_load &load)
{
    using std::chrono::milliseconds;
    status.running = load.running;
    status.queued = load.queued;
    status.pendingLoads = load.pendingLoads;
    status.availableSlots = load.availableSlots;
    status.availableMemorySlots = load.availableMemorySlots;
    status.storeLoadTime = milliseconds(load.storeLoadMs);
    status.memoryLoadTime = milliseconds(load.memoryLoadMs);
    status.loadInterval = milliseconds(load.loadIntervalMs);
    status.recentAdapters.setCapacity(load.rememberedAdapters);
    status.gatewayCount = load.gatewayCount;
}

void updateFailurePercent(replica &at, std::uint32_t failurePercent)
{
    const bool wasFailing = at.agent->failurePercent >= failureThresholdPercent;
    at.agent->failurePercent = failurePercent;
    if (wasFailing != (failurePercent >= failureThresholdPercent)) {
        log::write(log::level::info, wasFailing ? "replica fails less" : "replica fails",
                   {{"replica", at.record.id}, {"failing_percent", failurePercent}});
    }
}

} // namespace

agent_links::agent_links(asio::io_context &context, const core::clock &clock, std::string name, std::uint16_t agentPort,
                         replica_table &replicas, const catalog::route_table &routes,
                         suspects::crash_detector &crashDetector, resumption::stream_directory &streams,
                         quota::tenant_limiter &tenantLimiter, std::function<void(const replica_ptr &)> onStatus)
    : m_context(context)
    , m_clock(clock)
    , m_name(std::move(name))
    , m_agentPort(agentPort)
    , m_replicas(replicas)
    , m_routes(routes)
    , m_crashDetector(crashDetector)
    , m_streams(streams)
    , m_tenantLimiter(tenantLimiter)
    , m_onStatus(std::move(onStatus))
{
}

agent_links::~agent_links() = default;

bool agent_links::requestAdapter(const replica_ptr &at, std::string_view adapter)
{
    const auto found = m_links.find(at->record.id);
    if (found == m_links.end() || found->second.connection == nullptr) {
        return false;
    }
    found->second.connection->send(agent_protocol::load_request{{std::string(adapter)}});
    if (at->agent) {
        // Accounts for this load until the next status of the agent includes it.
        std::uint32_t &available =
            at->agent->recentAdapters.contains(adapter) ? at->agent->availableMemorySlots : at->agent->availableSlots;
        if (available > 0) {
            --available;
        } else {
            ++at->agent->pendingLoads;
        }
    }
    return true;
}

void agent_links::reportCrashes(const core::crash_news &update)
{
    if (update.empty()) {
        return;
    }
    // Gateways connected to the same agents choose the same ones; which ones doesn't matter.
    std::vector<std::pair<std::uint64_t, agent_protocol::message_connection *>> connectedAgents;
    for (const auto &[id, link] : m_links) {
        if (link.connected) {
            connectedAgents.emplace_back(core::hash64(id), link.connection.get());
        }
    }
    const std::size_t recipients = std::min(crashReportFanout, connectedAgents.size());
    std::partial_sort(connectedAgents.begin(), connectedAgents.begin() + static_cast<std::ptrdiff_t>(recipients),
                      connectedAgents.end());
    const agent_protocol::message report = agent_protocol::crash_report{update};
    const std::string encoded = agent_protocol::encode(report);
    for (std::size_t index = 0; index < recipients; ++index) {
        connectedAgents[index].second->sendEncoded(report.index(), encoded);
    }
    log::write(log::level::info, "crash news told",
               {{"crashes", static_cast<std::uint64_t>(update.crashes.size())},
                {"acquittals", static_cast<std::uint64_t>(update.acquittals.size())},
                {"agents", static_cast<std::uint64_t>(recipients)}});
}

void agent_links::mergeCrashReport(const std::string &from, agent_link &to, const core::crash_news &received)
{
    const core::monotonic_time now = m_clock.now();
    const suspects::merge_result merged = m_crashDetector.merge(received, now);
    for (const core::crash_record &crash : merged.added.crashes) {
        log::write(
            log::level::info, "crash told by another gateway",
            {{"fingerprint", crash.fingerprint},
             {"age_ms", crash.age.count()},
             {"ran_ms", crash.ran.count()},
             {"probe", crash.probe},
             {"by_agent", from},
             {"refused", m_crashDetector.statusOf(crash.fingerprint, now) == suspects::suspect_status::refused}});
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
    std::vector<std::string> silentAgents;
    for (const auto &[id, knownReplica] : m_replicas.all()) {
        const catalog::service *service = m_routes.findService(knownReplica->record.service);
        if (service == nullptr || !service->engine) {
            continue;
        }
        agent_link &link = m_links[id];
        if (link.connection == nullptr) {
            if (now >= link.nextConnectAt) {
                open(knownReplica, link);
            }
        } else if (now - link.lastMessageAt > silenceTimeout) {
            silentAgents.push_back(id);
        } else if (link.connected) {
            sendUpdates(*knownReplica, link);
        }
    }
    for (const std::string &id : silentAgents) {
        closeLink(id, "silent");
    }
    exchangeStreams(now);
    updateSharers(now);
    reportTenantUsage(now);
}

void agent_links::reportTenantUsage(core::monotonic_time now)
{
    if (!m_routes.tenants().isEnabled() || now < m_nextUsageReportAt) {
        return;
    }
    m_nextUsageReportAt = now + usageReportInterval;
    std::vector<tenant_buckets::connected_agent> agents;
    for (const auto &[id, link] : m_links) {
        if (link.connected) {
            agents.push_back({id, core::hash64(m_replicas.find(id)->record.address)});
        }
    }
    const tenant_buckets homes(agents);
    for (const std::string &id : homes.agents()) {
        const auto isKeptThere = [&homes, &id](std::string_view tenant) {
            return homes.isKeptBy(tenant, id);
        };
        auto reports = m_tenantLimiter.takeReports(id, isKeptThere, now);
        if (!reports.empty()) {
            m_links.at(id).connection->send(agent_protocol::tenant_usage{m_routes.version(), std::move(reports)});
        }
    }
}

void agent_links::exchangeStreams(core::monotonic_time now)
{
    if (m_streams.isIdle() || m_replicas.all().empty()) {
        return;
    }
    std::vector<resumption::known_agent> agents;
    agents.reserve(m_links.size());
    for (const auto &[id, link] : m_links) {
        agents.push_back({id, core::hash64(m_replicas.find(id)->record.address), link.connected});
    }
    for (auto &[id, streams] : m_streams.takeNews(agents)) {
        m_links.at(id).connection->send(agent_protocol::stream_origins{std::move(streams)});
    }
    for (auto &[id, streams] : m_streams.takeQueries(agents, now)) {
        m_links.at(id).connection->send(agent_protocol::origin_query{std::move(streams)});
    }
}

void agent_links::updateSharers(core::monotonic_time now)
{
    // The same processes send requests to all replicas, also to those without an agent.
    std::uint32_t gateways = 0;
    for (const auto &[id, known] : m_replicas.all()) {
        gateways = std::max(gateways, known->agent ? known->agent->gatewayCount : 0);
    }
    for (const auto &[id, known] : m_replicas.all()) {
        known->requestLimit.setSharers(gateways, now);
    }
}

void agent_links::open(const replica_ptr &to, agent_link &link)
{
    const std::string id = to->record.id;
    link = {};
    link.lastMessageAt = m_clock.now();
    link.connection = std::make_unique<agent_protocol::message_connection>(
        std::make_shared<http1::byte_stream>(m_context), m_sent,
        [this, id](const agent_protocol::message &message) {
            onMessage(id, message);
        },
        [this, id](std::string_view why) {
            closeLink(id, why);
        });
    std::error_code ignored;
    link.connection->connect({asio::ip::make_address_v4(to->record.address, ignored), m_agentPort}, connectTimeout);
    link.connection->send(agent_protocol::greeting{.name = m_name});
}

void agent_links::onMessage(const std::string &id, const agent_protocol::message &message)
{
    const auto found = m_links.find(id);
    const replica_ptr knownReplica = m_replicas.find(id);
    if (found == m_links.end() || knownReplica == nullptr) {
        return;
    }
    const core::monotonic_time now = m_clock.now();
    found->second.lastMessageAt = now;
    if (const auto *status = std::get_if<agent_protocol::engine_status>(&message)) {
        const bool sameIncarnation = knownReplica->agent && knownReplica->agent->startedAtMs == status->startedAtMs;
        if (knownReplica->agent && knownReplica->agent->engineUp && (!sameIncarnation || !status->engineUp)) {
            m_crashDetector.recordTargetEnd(id, now);
        }
        const core::monotonic_time startKnownAt = sameIncarnation ? knownReplica->agent->startObservedAt : now;
        catalog::recent_adapters recent;
        for (const std::string &adapter : status->recentAdapters) {
            recent.add(adapter);
        }
        for (const auto &[adapter, version] : status->adapters) {
            recent.add(adapter);
        }
        agent_status updated;
        updated.engineUp = status->engineUp;
        updated.startedAtMs = status->startedAtMs;
        updated.models = status->models;
        updated.adapters = status->adapters;
        updated.updatedAt = now;
        updated.recentAdapters = std::move(recent);
        updated.failurePercent = status->load.failurePercent;
        updated.startObservedAt = startKnownAt;
        updateLoad(updated, status->load);
        knownReplica->agent = std::move(updated);
        found->second.holdingsChanged = true;
        knownReplica->newestStartMs = std::max(knownReplica->newestStartMs, status->startedAtMs);
        if (!sameIncarnation && knownReplica->awaitsRelisting(now)) {
            log::write(log::level::info, "replica started anew and isn't listed yet",
                       {{"replica", id}, {"started_at_ms", status->startedAtMs}});
        }
        if (!found->second.connected) {
            found->second.connected = true;
            log::write(log::level::info, "agent link made", {{"replica", id}});
            // The agent may have restarted and lost what it knew.
            found->second.connection->sendPaced(
                [this, batches = m_crashDetector.batches()]() mutable -> std::optional<agent_protocol::message> {
                    if (auto known = batches.next(m_clock.now())) {
                        return agent_protocol::crash_report{*std::move(known)};
                    }
                    return std::nullopt;
                });
            sendUpdates(*knownReplica, found->second);
        }
    } else if (const auto *change = std::get_if<agent_protocol::engine_change>(&message);
               change != nullptr && knownReplica->agent) {
        for (const auto &[adapter, version] : change->loaded) {
            knownReplica->agent->adapters[adapter] = version;
            knownReplica->agent->recentAdapters.add(adapter);
        }
        for (const std::string &adapter : change->unloaded) {
            knownReplica->agent->adapters.erase(adapter);
            knownReplica->agent->recentAdapters.add(adapter);
        }
        found->second.holdingsChanged =
            found->second.holdingsChanged || !change->loaded.empty() || !change->unloaded.empty();
        updateLoad(*knownReplica->agent, change->load);
        updateFailurePercent(*knownReplica, change->load.failurePercent);
        // The agent's count includes the tokens that this process has reported.
        knownReplica->agent->othersPendingPrefillTokens = change->load.pendingPrefillTokens
            - std::min(change->load.pendingPrefillTokens, found->second.sentPendingPrefillTokens);
        knownReplica->prefill.recordPending(knownReplica->totalPendingPrefillTokens(), now);
        knownReplica->agent->updatedAt = now;
    } else if (const auto *report = std::get_if<agent_protocol::crash_report>(&message)) {
        mergeCrashReport(id, found->second, report->news);
        return;
    } else if (const auto *answer = std::get_if<agent_protocol::origin_answer>(&message)) {
        for (const auto &[stream, origin] : answer->origins) {
            m_streams.recordAnswer(id, stream, origin, now);
        }
        return;
    } else if (const auto *totals = std::get_if<agent_protocol::tenant_totals>(&message)) {
        for (const core::tenant_total &total : totals->totals) {
            m_tenantLimiter.recordTotal(id, total);
        }
        return;
    } else {
        return;
    }
    knownReplica->setReportedLoad(std::uint64_t{knownReplica->agent->running} + knownReplica->agent->queued, now);
    m_onStatus(knownReplica);
}

const agent_protocol::message_traffic &agent_links::sent() const
{
    return m_sent;
}

void agent_links::closeLink(const std::string &id, std::string_view why)
{
    const auto found = m_links.find(id);
    if (found == m_links.end() || found->second.connection == nullptr) {
        return;
    }
    if (found->second.connected) {
        log::write(log::level::warning, "agent link lost",
                   {{"replica", id},
                    {"why", why},
                    {"unsent_bytes", static_cast<std::uint64_t>(found->second.connection->unsentBytes())}});
    }
    // The connection may be the caller: it is destroyed after its callback has returned.
    asio::post(m_context,
               [old = std::shared_ptr<agent_protocol::message_connection>(std::move(found->second.connection))] {});
    m_streams.recordAgentLost(id);
    m_tenantLimiter.forgetAgent(id);
    found->second = {};
    found->second.nextConnectAt = m_clock.now() + reconnectDelay;
    if (const replica_ptr knownReplica = m_replicas.find(id); knownReplica != nullptr && knownReplica->agent) {
        // Without the agent, the instance list reports what the engine holds, with a delay.
        knownReplica->record.models = knownReplica->agent->models;
        knownReplica->record.adapters = knownReplica->agent->adapters;
        knownReplica->agent.reset();
        m_onStatus(knownReplica);
    }
}

void agent_links::sendUpdates(replica &of, agent_link &link)
{
    const catalog::service *service = m_routes.findService(of.record.service);
    if (service != nullptr && service->engine && link.sentStateVersion != m_routes.version()) {
        link.sentStateVersion = m_routes.version();
        agent_protocol::service_config facts;
        facts.stateVersion = m_routes.version();
        facts.service = service->name;
        for (const catalog::base_model &model : service->engine->models) {
            facts.models.push_back({model.name, model.weightsMb, model.adapterMb});
        }
        facts.weightsMb = service->engine->weightsMb;
        facts.adapterSlots = service->engine->adapterSlots;
        link.connection->send(facts);
    }
    if (of.agent && (link.holdingsChanged || link.checkedReleaseCount != m_replicas.releaseCount())) {
        sendReleases(of.agent->adapters, link);
    }
    const std::uint64_t pendingPrefillTokensChange = std::max(of.pendingPrefillTokens, link.sentPendingPrefillTokens)
        - std::min(of.pendingPrefillTokens, link.sentPendingPrefillTokens);
    if (differsSignificantly(link.sentRequestCounts, of.requestsByAdapter) || of.unreportedOutcomes.failed > 0
        || pendingPrefillTokensChange >= agent_protocol::tokenChangeThreshold) {
        link.connection->send(agent_protocol::adapters_in_use{of.requestsByAdapter, of.unreportedOutcomes.succeeded,
                                                              of.unreportedOutcomes.failed, of.pendingPrefillTokens});
        link.sentRequestCounts = of.requestsByAdapter;
        link.sentPendingPrefillTokens = of.pendingPrefillTokens;
        of.unreportedOutcomes = {};
    }
}

void agent_links::sendReleases(const catalog::adapter_versions &held, agent_link &link)
{
    link.holdingsChanged = false;
    link.checkedReleaseCount = m_replicas.releaseCount();
    catalog::adapter_versions outdated;
    for (const auto &[adapter, version] : held) {
        if (const std::uint64_t newest = m_replicas.newestVersion(adapter); newest > version) {
            outdated.emplace(adapter, newest);
        }
    }
    agent_protocol::adapter_releases unsent;
    std::ranges::set_difference(outdated, link.sentReleases, std::inserter(unsent.versions, unsent.versions.end()));
    link.sentReleases = std::move(outdated);
    if (!unsent.versions.empty()) {
        link.connection->send(unsent);
    }
}

} // namespace medlarrack::gateway
