#include <medlarrack/config_sync/peer_query.hpp>
#include <medlarrack/config_sync/platform_reader.hpp>
#include <medlarrack/core/system_clock.hpp>
#include <medlarrack/http/client.hpp>
#include <medlarrack/http/responder.hpp>
#include <medlarrack/http/server.hpp>
#include <medlarrack/peer/client.hpp>
#include <medlarrack/peer/reply_stream.hpp>
#include <medlarrack/peer/server.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace medlarrack;
using namespace medlarrack::config_sync;
using namespace std::chrono_literals;

namespace {

constexpr auto waitTimeout = 20s;
constexpr std::size_t threadCount = 3;

/// Platform service on loopback with one configurable answer per path; watches are answered immediately.
class loopback_platform
{
public:
    explicit loopback_platform(asio::io_context &context)
        : m_server(context, {}, [this](const http::request &request, const auto &responder) {
            handle(request, responder);
        })
    {
        core::reason why;
        BOOST_REQUIRE(m_server.start("127.0.0.1", 0, why));
    }

    void set(const std::string &changes, const std::string &instances)
    {
        const std::lock_guard lock(m_mutex);
        m_changes = changes;
        m_instances = instances;
    }

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(m_server.port());
    }

    std::atomic<int> calls{0};
    /// The next answer with changes comes in pieces, with blanks before it, over twice this time.
    std::atomic<std::chrono::milliseconds> slowAnswer{0ms};

private:
    void handle(const http::request &request, const std::shared_ptr<http::responder> &responder)
    {
        ++calls;
        const std::string answer = answerTo(request);
        if (const auto time = slowAnswer.load(); time > 0ms && request.path() == "/v1/changes") {
            slowAnswer = 0ms;
            m_slowWriter = std::jthread([responder, answer, time] {
                constexpr int pieces = 20;
                responder->begin(200, {{"Content-Type", "application/json"}});
                for (int piece = 0; piece < pieces; ++piece) {
                    responder->write(std::string(20'000, ' '));
                    std::this_thread::sleep_for(2 * time / pieces);
                }
                responder->write(answer);
                responder->end();
            });
            return;
        }
        responder->respond(200, {{"Content-Type", "application/json"}}, answer);
    }

    std::string answerTo(const http::request &request)
    {
        const std::lock_guard lock(m_mutex);
        return request.path() == "/v1/changes" ? m_changes : m_instances;
    }

    std::mutex m_mutex;
    std::string m_changes = "{}";
    std::string m_instances = "{}";
    std::jthread m_slowWriter;
    http::server m_server;
};

/// Worker threads that run one io_context.
struct workers
{
    workers()
        : guard(context.get_executor())
    {
        for (std::size_t index = 0; index < threadCount; ++index) {
            threads.emplace_back([this] {
                context.run();
            });
        }
    }

    void stop()
    {
        context.stop();
        for (auto &thread : threads) {
            thread.join();
        }
        threads.clear();
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    std::vector<std::thread> threads;
};

/// Waits until a condition holds, checking it after each reader event and every 20 ms.
class event_wait
{
public:
    void notify()
    {
        const std::lock_guard lock(m_mutex);
        m_changed.notify_all();
    }

    bool until(const std::function<bool()> &condition)
    {
        std::unique_lock lock(m_mutex);
        const auto end = std::chrono::steady_clock::now() + waitTimeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() >= end) {
                return false;
            }
            m_changed.wait_for(lock, 20ms);
        }
        return true;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
};

/// The ticket state, instance view and platform_reader of one process.
struct process
{
    process(workers &pool, const std::string &url, const std::string &id, bool peersEnabled,
            std::chrono::milliseconds callTimeout = 3s)
        : client(pool.context)
        , peers(pool.context, {}, [id] {
            return peer::hello{{id, 1}, "osijek", 1, 1, 0};
        })
    {
        reader_settings settings;
        settings.platformUrl = url;
        settings.self.id = id;
        settings.self.dataCentre = "osijek";
        settings.self.kind = instances::instance_kind::entry;
        settings.callTimeout = callTimeout;
        settings.planner.listInterval = 50ms;
        settings.planner.pollInterval = 50ms;
        settings.planner.minSpacing = 20ms;
        reader_callbacks callbacks;
        callbacks.onMalformed = [this](std::string_view, const auto &) {
            ++malformed;
        };
        callbacks.onTickets = [this] {
            events.notify();
        };
        if (peersEnabled) {
            callbacks.queryPeer = makePeerQuery(pool.context, peers, 500ms);
        }
        reader.emplace(pool.context, client, settings, state, view, clock, std::move(callbacks));
        reader->start();
    }

    ~process()
    {
        reader->stop();
        peers.stop();
        client.stop();
    }

    core::system_clock clock;
    tickets::state state;
    instances::view view;
    http::client client;
    peer::client peers;
    std::atomic<int> malformed{0};
    event_wait events;
    std::optional<platform_reader> reader;
};

const std::string twoTickets = R"({"newest": 3, "more": false, "tickets": [
    {"ticket": 1, "groups": {"assistant": {"slots": 4}}},
    {"ticket": 2, "groups": {"assistant": {"slots": 0}}},
    {"ticket": 3, "groups": {"pivot": {}}}]})";

std::string listWith(std::uint16_t port)
{
    return R"({"as_of_ms": 1000, "instances": [{"id": "sidecar-1", "kind": "sidecar", "target": "engine",
        "group": "assistant", "data_centre": "osijek", "address": "127.0.0.1", "port": )"
        + std::to_string(port) + R"(, "state": "live"}, {"id": "broken", "kind": "sidecar", "port": 0}]})";
}

} // namespace

BOOST_AUTO_TEST_CASE(tickets_and_instances_are_read_and_a_malformed_ticket_is_refused_alone)
{
    workers pool;
    loopback_platform platform(pool.context);
    platform.set(twoTickets, listWith(7));
    {
        process single(pool, platform.url(), "entry-1", false);
        BOOST_TEST(single.events.until([&] {
            return single.reader->ready() && single.state.contiguous() == 3;
        }));
        BOOST_TEST(single.state.findGroup("assistant")->slots == 4U);
        BOOST_TEST(single.malformed >= 1);
        BOOST_TEST(single.view.current()->instances.size() == 1U);
        BOOST_TEST(single.reader->status().changesCalls >= 1U);
    }
    pool.stop();
}

// Guards against a state that is never taken, as its answer takes longer than the time for a whole answer; see
// review/9.
BOOST_AUTO_TEST_CASE(an_answer_that_keeps_coming_is_taken_however_long_it_takes)
{
    workers pool;
    loopback_platform platform(pool.context);
    platform.set(twoTickets, listWith(7));
    constexpr auto callTimeout = 1s;
    platform.slowAnswer = callTimeout;
    {
        process single(pool, platform.url(), "entry-1", false, callTimeout);
        BOOST_TEST(single.events.until([&] {
            return single.state.contiguous() == 3;
        }));
        BOOST_TEST(single.reader->status().serviceFailures == 0U, single.reader->status().lastError);
    }
    pool.stop();
}

BOOST_AUTO_TEST_CASE(a_stale_or_broken_answer_changes_nothing)
{
    workers pool;
    loopback_platform platform(pool.context);
    platform.set(twoTickets, listWith(7));
    {
        process single(pool, platform.url(), "entry-1", false);
        BOOST_REQUIRE(single.events.until([&] {
            return single.reader->ready() && single.state.contiguous() == 3;
        }));
        for (const char *answer : {R"({"newest": 1, "tickets": [{"ticket": 1, "groups": {"assistant": null}}]})",
                                   "no json", R"({"newest": "3", "tickets": {}})"}) {
            platform.set(answer, R"({"as_of_ms": 1, "instances": []})");
            const int seen = platform.calls;
            BOOST_TEST(single.events.until([&] {
                return platform.calls > seen + 6;
            }));
        }
        BOOST_TEST(single.state.findGroup("assistant")->slots == 4U);
        BOOST_TEST(single.view.current()->instances.size() == 1U);
        BOOST_TEST(single.reader->ready());
    }
    pool.stop();
}

BOOST_AUTO_TEST_CASE(a_follower_learns_from_a_peer_over_the_network)
{
    workers pool;
    loopback_platform platform(pool.context);
    tickets::state known;
    std::vector<tickets::ticket_fault> faults;
    known.apply(*tickets::parseTicket(R"({"ticket": 1, "groups": {"assistant": {"slots": 9}}})", faults));
    peer::server server(
        pool.context, {},
        [] {
            return peer::hello{{"sidecar-1", 1}, "osijek", 1, 1, 1};
        },
        [&](const peer::hello &, const peer::message &request, const std::shared_ptr<peer::reply_stream> &reply) {
            const auto page = known.textsAfter(std::get<peer::tickets_request>(request).after, 1U << 20U);
            reply->send(peer::tickets_reply{page.texts, page.contiguous, page.complete});
            reply->end();
        });
    core::reason why;
    BOOST_REQUIRE(server.start("127.0.0.1", 0, why));
    platform.set(R"({"newest": 0, "tickets": []})", listWith(server.port()));
    {
        process follower(pool, platform.url(), "entry-1", true);
        BOOST_TEST(follower.events.until([&] {
            return follower.reader->ready() && follower.state.contiguous() == 1;
        }));
        BOOST_TEST(follower.state.findGroup("assistant")->slots == 9U);
        BOOST_TEST(follower.reader->status().changesCalls == 0U);
    }
    server.stop();
    pool.stop();
}
