#pragma once

#include <medlarrack/agent_protocol/message_connection.hpp>
#include <medlarrack/catalog/route_table.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/gateway/replica_table.hpp>
#include <medlarrack/quota/tenant_limiter.hpp>
#include <medlarrack/resumption/stream_directory.hpp>
#include <medlarrack/suspects/crash_detector.hpp>

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// Connections to the agents of all engines.
class agent_links
{
public:
    /// All references must outlive the links. The handler is called after each change to the status of an engine.
    agent_links(asio::io_context &context, const core::clock &clock, std::string name, std::uint16_t agentPort,
                replica_table &replicas, const catalog::route_table &routes, suspects::crash_detector &crashDetector,
                resumption::stream_directory &streams, quota::tenant_limiter &tenantLimiter,
                std::function<void(const replica_ptr &)> onStatus);
    ~agent_links();

    /// Asks the agent of an engine to load an adapter. False if there is no connection to the agent.
    bool requestAdapter(const replica_ptr &at, std::string_view adapter);
    /// Sends crash reports to some agents, which forward them to the other gateways.
    void reportCrashes(const core::crash_news &update);
    /// Opens and closes links and sends updates over them; called periodically.
    void tick();
    /// What was sent to agents since the start.
    [[nodiscard]] const agent_protocol::message_traffic &sent() const;

private:
    struct agent_link
    {
        std::unique_ptr<agent_protocol::message_connection> connection;
        bool connected = false;
        core::monotonic_time lastMessageAt{};
        core::monotonic_time nextConnectAt{};
        std::uint64_t sentStateVersion = 0;
        std::map<std::string, std::uint32_t, std::less<>> sentRequestCounts;
        /// What the engine holds has changed since its versions were last compared with the newest ones.
        bool holdingsChanged = true;
        /// Count of known releases at that time.
        std::uint64_t checkedReleaseCount = 0;
        /// The newest versions of the adapters that the engine holds in older ones, as sent.
        catalog::adapter_versions sentReleases;
        std::uint64_t sentPendingPrefillTokens = 0;
    };

    void open(const replica_ptr &to, agent_link &link);
    void onMessage(const std::string &id, const agent_protocol::message &message);
    /// Merges a crash report from an agent, and sends back the acquittals that the agent is missing.
    void mergeCrashReport(const std::string &from, agent_link &to, const core::crash_news &received);
    void closeLink(const std::string &id, std::string_view why);
    void sendUpdates(replica &of, agent_link &link);
    /// Sends the newest versions of the adapters that the engine holds in older ones. A load without a version gets the
    /// newest, so the agent needs no others.
    void sendReleases(const catalog::adapter_versions &held, agent_link &link);
    /// Tells agents of streams that have begun, and asks them for those that callers resume.
    void exchangeStreams(core::monotonic_time now);
    /// Reports the usage of tenants to the agents that keep their buckets.
    void reportTenantUsage(core::monotonic_time now);
    /// Tells the request limits of replicas how many processes share them.
    void updateSharers(core::monotonic_time now);

    asio::io_context &m_context;
    const core::clock &m_clock;
    std::string m_name;
    std::uint16_t m_agentPort;
    replica_table &m_replicas;
    const catalog::route_table &m_routes;
    suspects::crash_detector &m_crashDetector;
    resumption::stream_directory &m_streams;
    quota::tenant_limiter &m_tenantLimiter;
    core::monotonic_time m_nextUsageReportAt{};
    std::function<void(const replica_ptr &)> m_onStatus;
    agent_protocol::message_traffic m_sent;
    std::map<std::string, agent_link, std::less<>> m_links;
};

} // namespace medlarrack::gateway
