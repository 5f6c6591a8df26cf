#include "peer_fixture.hpp"

#include <asio/completion_condition.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <optional>

using namespace medlarrack::peer;
using namespace medlarrack::peer::tests;
using namespace std::chrono_literals;

namespace {

/// Passes bytes between a client and a server until told to hold them back or to drop the connection.
class relay
{
public:
    relay(worker_pool &pool, const endpoint &to)
        : m_acceptor(pool.context(), {asio::ip::make_address("127.0.0.1"), 0})
        , m_to(to)
        , m_thread([this] {
            run();
        })
    {
    }

    ~relay()
    {
        m_stopped = true;
        m_thread.join();
    }

    relay(const relay &) = delete;
    relay &operator=(const relay &) = delete;

    endpoint at()
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    /// Keeps the connection open without passing anything, as a paused or unplugged peer does.
    void hold()
    {
        m_held = true;
    }

private:
    void run()
    {
        asio::error_code error;
        auto left = m_acceptor.accept(error);
        asio::ip::tcp::socket right(m_acceptor.get_executor());
        right.connect({asio::ip::make_address(m_to.address), m_to.port}, error);
        left.non_blocking(true);
        right.non_blocking(true);
        while (!m_stopped) {
            const bool moved = !m_held && (pass(left, right) || pass(right, left));
            if (!moved) {
                std::this_thread::sleep_for(1ms);
            }
        }
    }

    static bool pass(asio::ip::tcp::socket &from, asio::ip::tcp::socket &to)
    {
        std::array<char, 4096> bytes{};
        asio::error_code error;
        const std::size_t length = from.read_some(asio::buffer(bytes), error);
        std::size_t written = 0;
        while (written < length && (!error || error == asio::error::would_block)) {
            error.clear();
            written += to.write_some(asio::buffer(bytes.data() + written, length - written), error);
        }
        return length > 0;
    }

    asio::ip::tcp::acceptor m_acceptor;
    endpoint m_to;
    std::atomic<bool> m_held{false};
    std::atomic<bool> m_stopped{false};
    std::thread m_thread;
};

std::uint16_t closedPort()
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

} // namespace

BOOST_AUTO_TEST_CASE(a_refused_connection_and_an_address_that_is_none_prove_not_processed)
{
    worker_pool pool;
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    for (const endpoint &to : {endpoint{"127.0.0.1", closedPort()}, endpoint{"not-an-address", 80}}) {
        stream_record record;
        client.start(to, requestWith("x"), record.callbacks());
        BOOST_REQUIRE(record.ended());
        BOOST_TEST((record.end() == stream_end::not_processed));
        BOOST_TEST(record.detail().find("connect_failed") == 0U, record.detail());
    }
    BOOST_TEST(client.connections() == 0U);
}

// A server that drains, or has all the connections it takes, closes new ones without a word.
BOOST_AUTO_TEST_CASE(a_request_to_a_peer_that_closes_without_a_word_is_proven_not_processed)
{
    /// Bytes that a client sends before any request or ping: preface, settings, connection window.
    constexpr std::size_t greetingBytes = 64;
    worker_pool pool;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    client_limits limits;
    limits.lossTimeout = 300ms;
    client client(pool.context(), limits, [] {
        return helloOf("entry-1");
    });
    stream_record record;
    client.start({"127.0.0.1", acceptor.local_endpoint().port()}, requestWith(std::string(3'000, 'x')),
                 record.callbacks());
    {
        auto socket = acceptor.accept();
        std::array<char, 2 * greetingBytes> bytes{};
        asio::error_code error;
        asio::read(socket, asio::buffer(bytes), asio::transfer_at_least(greetingBytes + 1), error);
    }
    BOOST_REQUIRE(record.ended());
    BOOST_TEST((record.end() == stream_end::not_processed), record.detail());
}

BOOST_AUTO_TEST_CASE(a_server_that_stops_in_the_middle_of_a_stream_breaks_it)
{
    worker_pool pool;
    std::shared_ptr<reply_stream> held;
    auto server = std::make_optional<test_server>(
        pool, [&](const hello &, const message &, const std::shared_ptr<reply_stream> &reply) {
            held = reply;
            reply->send(run_accepted{1, {"sidecar-1", 7}});
        });
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    stream_record record;
    client.start(server->at(), requestWith("x"), record.callbacks());
    BOOST_REQUIRE(record.has(1));
    (*server)->stop();
    BOOST_REQUIRE(record.ended());
    BOOST_TEST((record.end() == stream_end::broken), record.detail());
}

BOOST_AUTO_TEST_CASE(a_client_that_stops_is_seen_by_the_server_and_its_streams_end)
{
    worker_pool pool;
    std::atomic<bool> closed{false};
    std::atomic<bool> started{false};
    test_server server(pool, [&](const hello &, const message &, const std::shared_ptr<reply_stream> &reply) {
        reply->onClosed([&closed, reply] {
            closed = true;
        });
        started = true;
    });
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    stream_record record;
    client.start(server.at(), watch_load{}, record.callbacks());
    BOOST_REQUIRE(eventually([&] {
        return started.load();
    }));
    client.stop();
    BOOST_REQUIRE(record.ended());
    BOOST_TEST((record.end() == stream_end::broken));
    BOOST_TEST(eventually([&] {
        return closed.load();
    }));

    stream_record after;
    client.start(server.at(), watch_load{}, after.callbacks());
    BOOST_REQUIRE(after.ended());
    BOOST_TEST((after.end() == stream_end::not_processed));
}

BOOST_AUTO_TEST_CASE(a_peer_that_falls_silent_is_taken_for_lost_on_both_sides)
{
    worker_pool pool;
    server_limits serverLimits;
    serverLimits.lossTimeout = 200ms;
    std::atomic<bool> closed{false};
    test_server server(
        pool,
        [&](const hello &, const message &, const std::shared_ptr<reply_stream> &reply) {
            reply->onClosed([&closed, reply] {
                closed = true;
            });
            reply->send(run_accepted{1, {"sidecar-1", 7}});
        },
        serverLimits);
    relay relay(pool, server.at());
    client_limits limits;
    limits.lossTimeout = 200ms;
    client client(pool.context(), limits, [] {
        return helloOf("entry-1");
    });
    stream_record record;
    client.start(relay.at(), requestWith("x"), record.callbacks());
    BOOST_REQUIRE(record.has(1));
    relay.hold();
    BOOST_REQUIRE(record.ended());
    BOOST_TEST((record.end() == stream_end::broken));
    BOOST_TEST(record.detail() == "peer silent");
    BOOST_TEST(eventually([&] {
        return closed.load();
    }));
}

BOOST_AUTO_TEST_CASE(pings_keep_a_quiet_stream_open)
{
    worker_pool pool;
    server_limits serverLimits;
    serverLimits.lossTimeout = 60ms;
    std::shared_ptr<reply_stream> held;
    std::atomic<bool> holding{false};
    test_server server(
        pool,
        [&](const hello &, const message &, const std::shared_ptr<reply_stream> &reply) {
            held = reply;
            holding = true;
        },
        serverLimits);
    client_limits limits;
    limits.lossTimeout = 60ms;
    client client(pool.context(), limits, [] {
        return helloOf("entry-1");
    });
    stream_record record;
    client.start(server.at(), watch_load{}, record.callbacks());
    BOOST_REQUIRE(eventually([&] {
        return holding.load();
    }));
    // Several loss times of silence.
    const auto until = std::chrono::steady_clock::now() + 300ms;
    BOOST_REQUIRE(eventually([&] {
        return std::chrono::steady_clock::now() > until;
    }));
    held->send(load_report{});
    held->end();
    BOOST_REQUIRE(record.ended());
    BOOST_TEST((record.end() == stream_end::finished), record.detail());
}

// A request that follows a long silence is held back until the peer has shown a sign of life, so that its loss is
// still proven.
BOOST_AUTO_TEST_CASE(a_request_on_a_connection_whose_peer_vanished_while_unused_is_proven_not_processed)
{
    worker_pool pool;
    test_server server(pool, echo);
    relay relay(pool, server.at());
    client_limits limits;
    limits.lossTimeout = 100ms;
    client client(pool.context(), limits, [] {
        return helloOf("entry-1");
    });
    stream_record first;
    client.start(relay.at(), requestWith("x"), first.callbacks());
    BOOST_REQUIRE(first.ended());
    relay.hold();
    const auto until = std::chrono::steady_clock::now() + 2 * limits.lossTimeout;
    BOOST_REQUIRE(eventually([&] {
        return std::chrono::steady_clock::now() > until;
    }));

    stream_record second;
    client.start(relay.at(), requestWith("x"), second.callbacks());
    BOOST_REQUIRE(second.ended());
    BOOST_TEST((second.end() == stream_end::not_processed), second.detail());
}

BOOST_AUTO_TEST_CASE(an_unused_connection_is_closed_after_the_idle_time_and_opened_again_at_need)
{
    worker_pool pool;
    test_server server(pool, echo);
    client_limits limits;
    limits.lossTimeout = 60ms;
    limits.idleTimeout = 40ms;
    client client(pool.context(), limits, [] {
        return helloOf("entry-1");
    });
    for (int round = 0; round < 2; ++round) {
        stream_record record;
        client.start(server.at(), requestWith("x"), record.callbacks());
        BOOST_REQUIRE(record.ended());
        BOOST_TEST((record.end() == stream_end::finished), record.detail());
        BOOST_TEST(eventually([&] {
            return client.connections() == 0;
        }));
    }
}
