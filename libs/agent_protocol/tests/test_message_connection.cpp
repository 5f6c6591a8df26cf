#include "../../http1/tests/scripted_server.hpp"

#include <medlarrack/agent_protocol/message_connection.hpp>

#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

using namespace medlarrack;
using namespace medlarrack::agent_protocol;
using http1::testing::runUntil;

namespace {

/// A connection to a peer on loopback that reads only when it is told to.
struct connection_fixture
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
    asio::ip::tcp::socket peer{context};
    message_traffic sent;
    std::size_t received = 0;
    std::optional<std::string> lost;
    std::optional<message_connection> connection;

    connection_fixture()
    {
        peer.connect(acceptor.local_endpoint());
        connection.emplace(
            std::make_shared<http1::byte_stream>(context, acceptor.accept()), sent,
            [this](const message &) {
                ++received;
            },
            [this](std::string_view why) {
                lost = why;
            });
        connection->start();
    }

    /// Sends to a peer that doesn't read until no more is taken.
    void fill()
    {
        const message large = load_request{std::vector<std::string>(1'000, std::string(1'000, 'a'))};
        for (std::uint64_t before = 0; sent.bytes(large.index()) > before || before == 0;) {
            before = sent.bytes(large.index());
            connection->send(large);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(message_connection_suite, connection_fixture)

// Guards against an owner that destroys the connection while it is still sending on it (review/6).
BOOST_AUTO_TEST_CASE(a_loss_is_reported_after_the_sender_has_returned)
{
    fill();
    BOOST_TEST(!lost.has_value());
    BOOST_TEST(runUntil(context, [this] {
        return lost.has_value();
    }));
    BOOST_TEST(lost->find("send buffer is full") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_or_read_between_a_loss_and_its_report)
{
    asio::write(peer, asio::buffer(encode(origin_query{{1}})));
    fill();
    const std::uint64_t before = sent.bytes(message(origin_query()).index());
    connection->send(origin_query{{2}});
    BOOST_TEST(sent.bytes(message(origin_query()).index()) == before);
    BOOST_TEST(runUntil(context, [this] {
        return lost.has_value();
    }));
    BOOST_TEST(received == 0U);
}

BOOST_AUTO_TEST_CASE(a_loss_is_not_reported_to_an_owner_that_has_let_go)
{
    fill();
    connection.reset();
    context.run_for(std::chrono::milliseconds(1));
    BOOST_TEST(!lost.has_value());
}

// Guards against a state of many messages that fills a link and so loses it each time that it is made (review/6).
BOOST_AUTO_TEST_CASE(paced_messages_never_fill_the_buffer)
{
    constexpr int count = 200;
    int taken = 0;
    connection->sendPaced([&taken]() -> std::optional<message> {
        if (taken == count) {
            return std::nullopt;
        }
        ++taken;
        return load_request{std::vector<std::string>(100, std::string(1'000, 'a'))};
    });
    BOOST_TEST(taken < count);
    BOOST_TEST(connection->unsentBytes() < 200'000U);
    std::vector<char> buffer(1'048'576);
    std::uint64_t receivedBytes = 0;
    const std::size_t type = message(load_request()).index();
    peer.non_blocking(true);
    BOOST_TEST(runUntil(context, [&] {
        std::error_code error;
        receivedBytes += peer.read_some(asio::buffer(buffer), error);
        return taken == count && receivedBytes == sent.bytes(type);
    }));
    BOOST_TEST(!lost.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
