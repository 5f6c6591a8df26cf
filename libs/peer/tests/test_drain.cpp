#include "peer_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <mutex>

using namespace medlarrack::peer;
using namespace medlarrack::peer::tests;

BOOST_AUTO_TEST_CASE(after_a_drain_streams_in_progress_finish_and_new_ones_are_proven_not_processed)
{
    worker_pool pool;
    std::mutex mutex;
    std::vector<std::shared_ptr<reply_stream>> held;
    const auto heldCount = [&] {
        const std::lock_guard lock(mutex);
        return held.size();
    };
    test_server server(pool, [&](const hello &, const message &, const std::shared_ptr<reply_stream> &reply) {
        const std::lock_guard lock(mutex);
        held.push_back(reply);
    });
    client client(pool.context(), {}, [] {
        return helloOf("entry-1");
    });
    constexpr std::size_t count = 20;
    std::vector<std::unique_ptr<stream_record>> running;
    for (std::size_t index = 0; index < count; ++index) {
        running.push_back(std::make_unique<stream_record>());
        client.start(server.at(), requestWith("x"), running.back()->callbacks());
    }
    BOOST_REQUIRE(eventually([&] {
        return heldCount() == count;
    }));

    server->drain();
    stream_record late;
    client.start(server.at(), requestWith("late"), late.callbacks());
    BOOST_REQUIRE(late.ended());
    BOOST_TEST((late.end() == stream_end::not_processed), late.detail());
    BOOST_TEST(heldCount() == count);

    for (const auto &reply : held) {
        reply->send(run_chunk{1, 0, std::string(100'000, 'y')});
        reply->end();
    }
    for (const auto &record : running) {
        BOOST_REQUIRE(record->ended());
        BOOST_TEST((record->end() == stream_end::finished), record->detail());
        BOOST_TEST(record->messages().size() == 1U);
    }
    BOOST_TEST(eventually([&] {
        return server->connections() == 0 && server->streams() == 0;
    }));
    BOOST_TEST(eventually([&] {
        return client.connections() == 0;
    }));
}

// Requests are sent all the while the server drains: each one the client was told is not processed must not have
// reached the handler, and each one that did is answered whole.
BOOST_AUTO_TEST_CASE(a_drain_under_load_tells_the_truth_about_every_request)
{
    for (int round = 0; round < 20; ++round) {
        worker_pool pool;
        std::atomic<int> handled{0};
        test_server server(pool, [&](const hello &from, message request, const std::shared_ptr<reply_stream> &reply) {
            ++handled;
            echo(from, std::move(request), reply);
        });
        client client(pool.context(), {}, [] {
            return helloOf("entry-1");
        });
        constexpr int count = 200;
        std::vector<std::unique_ptr<stream_record>> records;
        for (int index = 0; index < count; ++index) {
            records.push_back(std::make_unique<stream_record>());
            client.start(server.at(), requestWith(std::string(3'000, 'x')), records.back()->callbacks());
            if (index == count / 2) {
                BOOST_REQUIRE(records.front()->ended());
                server->drain();
            }
        }
        int finished = 0;
        for (const auto &record : records) {
            BOOST_REQUIRE(record->ended());
            BOOST_TEST((record->end() == stream_end::finished || record->end() == stream_end::not_processed),
                       record->detail());
            finished += record->end() == stream_end::finished ? 1 : 0;
        }
        BOOST_TEST(finished == handled.load());
    }
}
