#pragma once

#include "../../http1/tests/scripted_server.hpp"
#include "../src/agent_links.hpp"

#include <medlarrack/core/manual_clock.hpp>

#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace medlarrack::gateway::testing {

/// The agent at the other end of a link, which reads only when it is told to.
class scripted_agent
{
public:
    explicit scripted_agent(asio::ip::tcp::socket socket)
        : m_socket(std::move(socket))
    {
        m_socket.non_blocking(true);
    }

    void send(const agent_protocol::message &message)
    {
        asio::write(m_socket, asio::buffer(agent_protocol::encode(message)));
    }

    /// Decodes what has come so far.
    void read()
    {
        std::error_code error;
        std::array<char, 65'536> buffer{};
        while (const std::size_t size = m_socket.read_some(asio::buffer(buffer), error)) {
            receivedBytes += size;
            m_decoder.feed({buffer.data(), size});
            core::reason why;
            while (auto message = m_decoder.next(why)) {
                received.push_back(*std::move(message));
            }
        }
        hasEnded = hasEnded || (error && error != asio::error::would_block);
    }

    template<typename Message>
    [[nodiscard]] std::vector<Message> receivedOf() const
    {
        std::vector<Message> chosen;
        for (const agent_protocol::message &one : received) {
            if (const auto *found = std::get_if<Message>(&one)) {
                chosen.push_back(*found);
            }
        }
        return chosen;
    }

    std::vector<agent_protocol::message> received;
    std::size_t receivedBytes = 0;
    /// The gateway has closed or reset the connection.
    bool hasEnded = false;

private:
    asio::ip::tcp::socket m_socket;
    agent_protocol::message_decoder m_decoder;
};

/// The links of a gateway to one engine's agent, under a manual clock.
struct agent_link_fixture
{
    asio::io_context context;
    core::manual_clock clock;
    catalog::route_table routes;
    replica_table replicas{"dc1"};
    suspects::crash_detector crashDetector;
    resumption::stream_directory streams;
    quota::tenant_limiter tenantLimiter;
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
    agent_links links{context,       clock,   "test",        acceptor.local_endpoint().port(), replicas, routes,
                      crashDetector, streams, tenantLimiter, [](const replica_ptr &) {}};
    replica_ptr engine;
    std::unique_ptr<scripted_agent> agent;

    agent_link_fixture()
    {
        publishState();
        catalog::replica_record record;
        record.id = "e0";
        record.service = "llm";
        record.address = "127.0.0.1";
        record.port = 1;
        record.dataCentre = "dc1";
        record.slots = 32;
        record.sequence = 1;
        record.startedAtMs = 1;
        record.models = {"m"};
        replicas.update(record, clock.now());
        engine = replicas.find("e0");
    }

    /// Publishes the next version of the state.
    void publishState()
    {
        catalog::route route;
        route.name = "r";
        route.host = "h";
        route.prefix = "/a/";
        route.services = {{"llm", 1}};
        BOOST_REQUIRE(routes.update(
            {routes.version() + 1, {route}, {{"llm", 100, catalog::engine_spec{{{"m", 1, 1}}, 100, 14, 2}}}, {}}));
    }

    /// Opens the link to an agent whose engine holds the given adapters.
    void connect(const catalog::adapter_versions &adapters = {})
    {
        links.tick();
        asio::ip::tcp::socket socket(context);
        acceptor.accept(socket);
        agent = std::make_unique<scripted_agent>(std::move(socket));
        agent_protocol::engine_status status;
        status.engineUp = true;
        status.startedAtMs = 1;
        status.models = {"m"};
        status.adapters = adapters;
        agent->send(status);
        BOOST_REQUIRE(waitFor([this] {
            return engine->agent.has_value();
        }));
    }

    bool waitFor(const std::function<bool()> &condition)
    {
        return http1::testing::runUntil(context, condition);
    }

    /// Lets the agent read until a condition holds.
    bool readUntil(const std::function<bool()> &condition)
    {
        return waitFor([this, &condition] {
            agent->read();
            return condition();
        });
    }
};

} // namespace medlarrack::gateway::testing
