#pragma once

#include <medlarrack/agent_protocol/link_connection.hpp>
#include <medlarrack/catalog/route_table.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/gateway/replica_table.hpp>
#include <medlarrack/suspects/crash_detector.hpp>

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// Links to the agents beside all engines.
class agent_links
{
public:
    /// All references must outlive the links. The handler is called after each change of what is known of an engine.
    agent_links(asio::io_context &context, const core::clock &clock, std::string name, std::uint16_t agentPort,
                replica_table &replicas, const catalog::route_table &routes, suspects::crash_detector &crashes,
                std::function<void(const replica_ptr &)> onStatus);
    ~agent_links();

    /// Asks for an adapter at an engine. False if its agent isn't reached.
    bool want(const replica_ptr &at, std::string_view adapter);
    /// Tells other gateways, by way of some agents.
    void tell(const core::crash_news &news);
    /// Makes, drops and feeds links; called at a steady pace.
    void tick();

private:
    struct agent_link
    {
        std::unique_ptr<agent_protocol::link_connection> connection;
        bool connected = false;
        core::monotonic_time heardAt{};
        core::monotonic_time nextTry{};
        std::uint64_t toldStateVersion = 0;
        std::map<std::string, std::uint32_t, std::less<>> toldInUse;
        std::uint64_t toldReleases = 0;
        std::uint64_t toldUnread = 0;
    };

    void open(const replica_ptr &to, agent_link &one);
    void take(const std::string &id, const agent_protocol::message &message);
    /// Takes what an agent tells, and answers it where it is behind.
    void takeNews(const std::string &from, agent_link &to, const core::crash_news &told);
    void lose(const std::string &id, std::string_view why);
    void feed(replica &of, agent_link &one);

    asio::io_context &m_context;
    const core::clock &m_clock;
    std::string m_name;
    std::uint16_t m_agentPort;
    replica_table &m_replicas;
    const catalog::route_table &m_routes;
    suspects::crash_detector &m_crashes;
    std::function<void(const replica_ptr &)> m_onStatus;
    std::map<std::string, agent_link, std::less<>> m_links;
};

} // namespace medlarrack::gateway
