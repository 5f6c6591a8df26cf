#include "peer_fixture.hpp"
#include "raw_peer.hpp"
#include "raw_server.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <thread>

using namespace medlarrack::peer;
using namespace medlarrack::peer::tests;

namespace {

const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const std::string emptySettings("\0\0\0\x04\0\0\0\0\0", 9);

const std::vector<std::string> garbage = {
    "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    std::string(70'000, '\xff'),
    preface + "what follows is no frame at all, only text of some length",
    // A DATA frame on a stream that was never opened, and HEADERS with broken HPACK.
    preface + emptySettings + std::string("\0\0\x01\0\0\0\0\0\x01x", 10),
    preface + emptySettings + std::string("\0\0\x03\x01\x05\0\0\0\x01\xff\xff\xff", 12),
};

const std::vector<std::string> wrongStatuses = {"000", "099", "600", "999", "abc", "20x", "-20", "2", "2000", ""};

} // namespace

BOOST_DATA_TEST_CASE(garbage_closes_its_own_connection_only, boost::unit_test::data::make(garbage), bytes)
{
    worker_pool pool;
    std::atomic<int> handled{0};
    test_server server(pool, [&](const hello &from, message request, const std::shared_ptr<reply_stream> &reply) {
        ++handled;
        echo(from, std::move(request), reply);
    });
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    stream_record before;
    client.start(server.at(), requestWith("before"), before.callbacks());
    BOOST_REQUIRE(before.ended());

    raw_peer stranger(server.at());
    stranger.send(bytes);
    static_cast<void>(stranger.readToEnd());

    stream_record after;
    client.start(server.at(), requestWith("after"), after.callbacks());
    BOOST_REQUIRE(after.ended());
    BOOST_TEST((after.end() == stream_end::finished), after.detail());
    BOOST_TEST(handled.load() == 2);
    BOOST_TEST(eventually([&] {
        return server->connections() == 1;
    }));
}

BOOST_AUTO_TEST_CASE(connections_beyond_the_limit_are_closed_and_leave_the_first_alone)
{
    worker_pool pool;
    server_limits limits;
    limits.maxConnections = 1;
    test_server server(pool, echo, limits);
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    stream_record first;
    client.start(server.at(), requestWith("x"), first.callbacks());
    BOOST_REQUIRE(first.ended());
    raw_peer second(server.at());
    BOOST_TEST(second.readToEnd().empty());
    stream_record third;
    client.start(server.at(), requestWith("x"), third.callbacks());
    BOOST_REQUIRE(third.ended());
    BOOST_TEST((third.end() == stream_end::finished));
}

BOOST_AUTO_TEST_CASE(a_connection_that_never_speaks_is_closed_after_the_loss_time)
{
    worker_pool pool;
    server_limits limits;
    limits.lossTimeout = std::chrono::milliseconds(30);
    test_server server(pool, echo, limits);
    raw_peer silent(server.at());
    // The server's own SETTINGS arrive, then the end.
    BOOST_TEST(!silent.readToEnd().empty());
}

// Guards against connections without a request that keep others out.
BOOST_AUTO_TEST_CASE(a_connection_without_a_request_makes_room)
{
    worker_pool pool;
    server_limits limits;
    limits.maxConnections = 1;
    test_server server(pool, echo, limits);
    raw_peer silent(server.at());
    silent.send(preface + emptySettings);
    std::this_thread::sleep_for(std::chrono::milliseconds(1'100));
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    stream_record record;
    client.start(server.at(), requestWith("x"), record.callbacks());
    BOOST_REQUIRE(record.ended());
    BOOST_TEST((record.end() == stream_end::finished), record.detail());
    static_cast<void>(silent.readToEnd());
}

// Guards against requests that are never completed and keep their memory.
BOOST_AUTO_TEST_CASE(a_request_that_is_not_complete_in_time_is_refused)
{
    worker_pool pool;
    server_limits limits;
    // The server checks its limits three times in a loss time, and takes a longer pause between two checks for its own:
    // however late the checks are, one comes after the request's limit and before the connection counts as silent.
    limits.requestTimeout = std::chrono::milliseconds(50);
    limits.lossTimeout = 6 * limits.requestTimeout;
    limits.idleTimeout = std::chrono::milliseconds(300);
    test_server server(pool, echo, limits);
    raw_peer slow(server.at());
    const std::string head("\0\0\x06\x01\x04\0\0\0\x01\x83\x86\x84\x01\x01h", 15);
    slow.send(preface + emptySettings + head);
    // RST_STREAM of stream 1 with REFUSED_STREAM.
    const std::string refusal("\0\0\x04\x03\0\0\0\0\x01\0\0\0\x07", 13);
    BOOST_TEST(slow.readToEnd().find(refusal) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(streams_beyond_the_limit_wait_for_their_turn)
{
    worker_pool pool;
    server_limits limits;
    limits.maxStreamsPerConnection = 2;
    std::atomic<int> open{0};
    std::atomic<int> most{0};
    test_server server(
        pool,
        [&](const hello &from, message request, const std::shared_ptr<reply_stream> &reply) {
            const int now = ++open;
            most = std::max(most.load(), now);
            --open;
            echo(from, std::move(request), reply);
        },
        limits);
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    std::vector<std::unique_ptr<stream_record>> records;
    for (int index = 0; index < 30; ++index) {
        records.push_back(std::make_unique<stream_record>());
        client.start(server.at(), requestWith("x"), records.back()->callbacks());
    }
    for (const auto &record : records) {
        BOOST_REQUIRE(record->ended());
        // Before the server's limit is known a stream may be refused, which says so.
        BOOST_TEST((record->end() == stream_end::finished || record->end() == stream_end::not_processed));
    }
    BOOST_TEST(most.load() <= 2);
}

BOOST_AUTO_TEST_CASE(a_message_too_long_is_refused_before_it_is_sent)
{
    worker_pool pool;
    test_server server(pool, echo);
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    stream_record record;
    client.start(server.at(), requestWith(std::string(5U << 20U, 'x')), record.callbacks());
    BOOST_REQUIRE(record.ended());
    BOOST_TEST((record.end() == stream_end::not_processed));
    BOOST_TEST(record.detail() == "message_too_long");
}

// Guards against a broken response that counts as a refusal, after which the request would be sent to another peer
// though this one may have run it.
BOOST_DATA_TEST_CASE(a_response_with_a_wrong_status_is_broken, boost::unit_test::data::make(wrongStatuses), status)
{
    raw_server server([&](std::int32_t stream) {
        return headersFrame(stream, {{":status", status}, {"medlarrack-error", "draining"}});
    });
    worker_pool pool;
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    stream_record record;
    client.start(server.at(), requestWith("x"), record.callbacks());
    BOOST_REQUIRE(record.ended());
    BOOST_TEST((record.end() == stream_end::broken), record.detail());
    BOOST_TEST(record.messages().empty());
}

// Guards against a check of the status that turns refusals into broken responses.
BOOST_AUTO_TEST_CASE(a_refusal_with_a_status_in_the_range_was_not_processed)
{
    raw_server server([](std::int32_t stream) {
        return headersFrame(stream, {{":status", "503"}, {"medlarrack-error", "draining"}});
    });
    worker_pool pool;
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    stream_record record;
    client.start(server.at(), requestWith("x"), record.callbacks());
    BOOST_REQUIRE(record.ended());
    BOOST_TEST((record.end() == stream_end::not_processed), record.detail());
}
