#include "peer_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <deque>

using namespace medlarrack::peer;
using namespace medlarrack::peer::tests;

BOOST_AUTO_TEST_CASE(a_request_is_answered_on_its_stream_and_both_sides_learn_the_other_hello)
{
    worker_pool pool;
    std::atomic<std::uint64_t> incarnationSeen{0};
    test_server server(pool, [&](const hello &from, message request, const std::shared_ptr<reply_stream> &reply) {
        incarnationSeen = from.sender.incarnation;
        echo(from, std::move(request), reply);
    });
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    std::atomic<bool> heard{false};
    client.onHello([&](const endpoint &, const hello &value) {
        heard = value.sender.id == "sidecar-1";
    });

    stream_record record;
    client.start(server.at(), requestWith("water"), record.callbacks());

    BOOST_REQUIRE(record.ended());
    BOOST_TEST((record.end() == stream_end::finished), record.detail());
    const auto messages = record.messages();
    BOOST_REQUIRE(messages.size() == 3U);
    BOOST_TEST(std::get<run_chunk>(messages[1]).data == "water");
    BOOST_TEST(heard.load());
    BOOST_TEST(incarnationSeen.load() == 7U);
}

BOOST_AUTO_TEST_CASE(two_hundred_streams_at_once_get_their_own_answers_over_one_connection)
{
    worker_pool pool;
    test_server server(pool, echo);
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    constexpr std::size_t count = 200;
    std::deque<stream_record> records(count);
    for (std::size_t index = 0; index < count; ++index) {
        const std::string body = std::to_string(index) + std::string(index * 200, 'x');
        client.start(server.at(), requestWith(body), records[index].callbacks());
    }
    for (std::size_t index = 0; index < count; ++index) {
        BOOST_REQUIRE(records[index].ended());
        BOOST_TEST((records[index].end() == stream_end::finished), records[index].detail());
        const auto messages = records[index].messages();
        BOOST_REQUIRE(messages.size() == 3U);
        BOOST_TEST((std::get<run_chunk>(messages[1]).data == std::to_string(index) + std::string(index * 200, 'x')));
    }
    BOOST_TEST(client.connections() == 1U);
    BOOST_TEST(eventually([&] {
        return server->streams() == 0;
    }));
}

BOOST_AUTO_TEST_CASE(a_cancelled_stream_ends_once_here_and_is_seen_by_the_server)
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
    const auto stream = client.start(server.at(), watch_load{}, record.callbacks());
    BOOST_REQUIRE(eventually([&] {
        return started.load();
    }));
    client.cancel(stream);
    BOOST_REQUIRE(record.ended());
    BOOST_TEST((record.end() == stream_end::cancelled));
    BOOST_TEST(eventually([&] {
        return closed.load();
    }));
    client.cancel(stream);
    BOOST_TEST(record.ends() == 1);
}

BOOST_AUTO_TEST_CASE(thousands_of_cancelled_streams_leave_the_connection_as_it_was)
{
    worker_pool pool;
    std::atomic<int> closed{0};
    test_server server(pool, [&](const hello &from, message request, const std::shared_ptr<reply_stream> &reply) {
        if (std::holds_alternative<watch_load>(request)) {
            reply->onClosed([&closed, reply] {
                ++closed;
            });
            reply->send(load_report{});
        } else {
            echo(from, std::move(request), reply);
        }
    });
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    constexpr int rounds = 30;
    constexpr int atOnce = 100;
    for (int round = 0; round < rounds; ++round) {
        std::deque<stream_record> records(atOnce);
        for (auto &record : records) {
            const auto stream = client.start(server.at(), watch_load{}, record.callbacks());
            BOOST_REQUIRE(record.has(1));
            client.cancel(stream);
        }
        for (auto &record : records) {
            BOOST_REQUIRE(record.ended());
            BOOST_TEST((record.end() == stream_end::cancelled), record.detail());
        }
    }
    BOOST_TEST(eventually([&] {
        return closed == rounds * atOnce;
    }));
    stream_record record;
    client.start(server.at(), requestWith("x"), record.callbacks());
    BOOST_REQUIRE(record.ended());
    BOOST_TEST((record.end() == stream_end::finished), record.detail());
    BOOST_TEST(client.connections() == 1U);
}

BOOST_AUTO_TEST_CASE(a_refused_stream_is_proven_not_processed)
{
    worker_pool pool;
    test_server server(pool, [](const hello &, const message &, const std::shared_ptr<reply_stream> &reply) {
        reply->refuse();
    });
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    stream_record record;
    client.start(server.at(), requestWith("x"), record.callbacks());
    BOOST_REQUIRE(record.ended());
    BOOST_TEST((record.end() == stream_end::not_processed), record.detail());
}

BOOST_AUTO_TEST_CASE(refusing_after_an_answer_or_dropping_the_reply_breaks_the_stream)
{
    worker_pool pool;
    test_server server(pool, [](const hello &, message request, const std::shared_ptr<reply_stream> &reply) {
        if (std::get<run_request>(request).body == "late") {
            reply->send(run_accepted{});
            reply->refuse();
        }
    });
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    for (const char *body : {"late", "dropped"}) {
        stream_record record;
        client.start(server.at(), requestWith(body), record.callbacks());
        BOOST_REQUIRE(record.ended());
        BOOST_TEST((record.end() == stream_end::broken), body);
    }
}

BOOST_AUTO_TEST_CASE(a_paused_stream_keeps_its_sender_waiting_and_other_streams_go_on)
{
    worker_pool pool;
    constexpr std::size_t chunkBytes = 64U << 10U;
    constexpr std::size_t chunks = 64;
    std::shared_ptr<reply_stream> slow;
    std::atomic<bool> started{false};
    test_server server(pool, [&](const hello &from, message request, const std::shared_ptr<reply_stream> &reply) {
        if (std::get<run_request>(request).body != "slow") {
            echo(from, std::move(request), reply);
            return;
        }
        for (std::size_t index = 0; index < chunks; ++index) {
            reply->send(run_chunk{1, index * chunkBytes, std::string(chunkBytes, 's')});
        }
        reply->end();
        slow = reply;
        started = true;
    });
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    stream_record record;
    const auto stream = client.start(server.at(), requestWith("slow"), record.callbacks());
    client.pause(stream);
    BOOST_REQUIRE(eventually([&] {
        return started.load();
    }));
    BOOST_TEST(record.has(1));

    stream_record other;
    client.start(server.at(), requestWith("quick"), other.callbacks());
    BOOST_REQUIRE(other.ended());
    BOOST_TEST((other.end() == stream_end::finished));
    BOOST_TEST(slow->bufferedBytes() > (1U << 20U));
    BOOST_TEST(record.ends() == 0);

    client.resume(stream);
    BOOST_REQUIRE(record.ended());
    BOOST_TEST((record.end() == stream_end::finished), record.detail());
    BOOST_TEST(record.messages().size() == chunks);
    BOOST_TEST(slow->bufferedBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(disjoint_versions_end_the_stream_with_a_clear_error)
{
    worker_pool pool;
    auto newer = helloOf("sidecar-1");
    newer.lowestVersion = 3;
    newer.highestVersion = 4;
    std::atomic<int> handled{0};
    test_server server(
        pool,
        [&](const hello &, const message &, const std::shared_ptr<reply_stream> &) {
            ++handled;
        },
        {}, newer);
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    stream_record record;
    client.start(server.at(), requestWith("x"), record.callbacks());
    BOOST_REQUIRE(record.ended());
    BOOST_TEST((record.end() == stream_end::not_processed));
    BOOST_TEST(record.detail().find("version_mismatch") == 0U, record.detail());
    BOOST_TEST(handled.load() == 0);
}

BOOST_AUTO_TEST_CASE(the_connection_unused_for_longest_makes_room_and_none_in_use_does)
{
    worker_pool pool;
    std::shared_ptr<reply_stream> held;
    std::atomic<bool> holding{false};
    const auto handler = [&](const hello &from, message request, const std::shared_ptr<reply_stream> &reply) {
        if (std::holds_alternative<watch_load>(request)) {
            held = reply;
            holding = true;
            return;
        }
        echo(from, std::move(request), reply);
    };
    test_server first(pool, handler);
    test_server second(pool, handler);
    client_limits limits;
    limits.maxConnections = 1;
    client client(pool.context(), limits, [] {
        return helloOf("entry-1");
    });
    for (const auto &to : {first.at(), second.at(), first.at()}) {
        stream_record record;
        client.start(to, requestWith("x"), record.callbacks());
        BOOST_REQUIRE(record.ended());
        BOOST_TEST((record.end() == stream_end::finished), record.detail());
        BOOST_TEST(eventually([&] {
            return client.connections() == 1;
        }));
    }
    stream_record watch;
    client.start(first.at(), watch_load{}, watch.callbacks());
    BOOST_REQUIRE(eventually([&] {
        return holding.load();
    }));
    stream_record refused;
    client.start(second.at(), requestWith("x"), refused.callbacks());
    BOOST_REQUIRE(refused.ended());
    BOOST_TEST((refused.end() == stream_end::not_processed));
    held->end();
    BOOST_TEST(watch.ended());
}
