#include <medlarrack/core/system_clock.hpp>
#include <medlarrack/http/client.hpp>
#include <medlarrack/http/responder.hpp>
#include <medlarrack/http/server.hpp>
#include <medlarrack/peer/client.hpp>
#include <medlarrack/sidecar/sidecar_service.hpp>

#include <asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>

using namespace medlarrack;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds waitTimeout{20};
const std::string loopback = "127.0.0.1";

/// Answers as an engine with one slot that sends three tokens without delay.
void answerAsEngine(const http::request &request, http::responder &answer)
{
    if (request.path() == "/load") {
        answer.respond(200, {}, R"({"started_ms":1764700000000,"slots":1,"batch_size":4,"adapters":[]})");
        return;
    }
    if (request.path() != "/v1/completions") {
        answer.respond(200, {}, "{}");
        return;
    }
    const auto body = nlohmann::json::parse(request.body);
    const std::string id(http::findHeader(request.headers, "X-Request-Id").value_or(""));
    answer.begin(200, {{"Content-Type", "text/event-stream"}});
    for (int token = 0; token < 3; ++token) {
        const nlohmann::json reason = token == 2 ? nlohmann::json("length") : nlohmann::json(nullptr);
        const nlohmann::json event = {
            {"id", id}, {"model", body.at("model")}, {"choices", {{{"text", " t"}, {"finish_reason", reason}}}}};
        answer.write("data: " + event.dump() + "\n\n");
    }
    answer.write("data: [DONE]\n\n");
    answer.end();
}

/// Records the messages and the end of one stream.
struct stream_recorder
{
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<peer::message> messages;
    std::optional<peer::stream_end> end;

    template<typename Condition>
    bool waitFor(Condition condition)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, waitTimeout, condition);
    }
};

/// A sidecar, an engine and an entry's client in one process.
struct service_fixture
{
    service_fixture()
        : guard(asio::make_work_guard(context))
        , engine(context, {},
                 [](const http::request &request, const std::shared_ptr<http::responder> &answer) {
                     answerAsEngine(request, *answer);
                 })
        , entry(context, {},
                [] {
                    return peer::hello{{"entry-1", 1}, "osijek", 1, 1, 0};
                })
        , http(context)
        , firstWorker([this] {
            context.run();
        })
        , secondWorker([this] {
            context.run();
        })
    {
        core::reason why;
        BOOST_REQUIRE(engine.start(loopback, 0, why));
        sidecar::sidecar_settings settings;
        settings.instanceId = "sidecar-1";
        settings.dataCentre = "osijek";
        settings.group = "assistant";
        settings.target.kind = "engine";
        settings.target.url = "http://" + loopback + ":" + std::to_string(engine.port());
        settings.platformUrl = "http://" + loopback + ":1";
        settings.drain.grace = 100ms;
        service = std::make_unique<sidecar::sidecar_service>(context, settings, clock);
        BOOST_REQUIRE(service->start(why));
    }

    ~service_fixture()
    {
        entry.stop();
        service->stop();
        engine.stop();
        http.stop();
        context.stop();
    }

    std::shared_ptr<stream_recorder> send(const peer::message &message)
    {
        auto recorder = std::make_shared<stream_recorder>();
        peer::stream_callbacks callbacks;
        callbacks.onMessage = [recorder](peer::message received) {
            const std::scoped_lock lock(recorder->mutex);
            recorder->messages.push_back(std::move(received));
            recorder->changed.notify_all();
        };
        callbacks.onEnd = [recorder](peer::stream_end end, const std::string &) {
            const std::scoped_lock lock(recorder->mutex);
            recorder->end = end;
            recorder->changed.notify_all();
        };
        entry.start({loopback, service->peersPort()}, message, std::move(callbacks));
        return recorder;
    }

    std::pair<int, std::string> fetchPage(const std::string &path)
    {
        std::mutex mutex;
        std::condition_variable changed;
        std::optional<std::pair<int, std::string>> response;
        http::client_request request;
        request.url = "http://" + loopback + ":" + std::to_string(service->adminPort()) + path;
        http::fetch(http, request, [&](const http::client_result &result, const std::string &body) {
            const std::scoped_lock lock(mutex);
            response.emplace(result.status, body);
            changed.notify_all();
        });
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] {
            return response.has_value();
        });
        return *response;
    }

    void waitUntilReady()
    {
        while (fetchPage("/readyz").first != 200) {
            std::this_thread::yield();
        }
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    core::system_clock clock;
    http::server engine;
    peer::client entry;
    http::client http;
    std::unique_ptr<sidecar::sidecar_service> service;
    std::jthread firstWorker;
    std::jthread secondWorker;
};

peer::run_request makeRequest(const std::string &id)
{
    peer::run_request request;
    request.requestId = id;
    request.operatorName = "farm";
    request.adapter = {"farm/nozzle", "v1"};
    request.path = "/v1/completions";
    request.body = R"({"prompt":"p","max_tokens":3})";
    request.idempotent = true;
    request.stream = true;
    return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_stream_passes_from_engine_to_entry_and_a_drain_ends_in_order)
{
    service_fixture fixture;
    fixture.waitUntilReady();
    const auto watch = fixture.send(peer::watch_load{});
    const auto recorder = fixture.send(makeRequest("r1"));
    BOOST_REQUIRE(recorder->waitFor([&] {
        return recorder->end.has_value();
    }));
    BOOST_TEST((*recorder->end == peer::stream_end::finished));
    std::string body;
    for (const peer::message &message : recorder->messages) {
        if (const auto *chunk = std::get_if<peer::run_chunk>(&message)) {
            BOOST_TEST(chunk->offset == body.size());
            body += chunk->data;
        }
    }
    BOOST_TEST(body.ends_with("data: [DONE]\n\n"));
    BOOST_TEST(body.find("farm/nozzle@v1") != std::string::npos);
    BOOST_REQUIRE(std::holds_alternative<peer::run_end>(recorder->messages.back()));
    BOOST_TEST(std::get<peer::run_end>(recorder->messages.back()).totalBytes == body.size());

    BOOST_TEST(fixture.fetchPage("/metrics").second.find("medlarrack_sidecar_load_stall_seconds") != std::string::npos);
    BOOST_TEST(fixture.fetchPage("/debug/requests/r1").second.find("started") != std::string::npos);
    BOOST_TEST(fixture.fetchPage("/debug/requests/r2").first == 404);
    BOOST_TEST(fixture.fetchPage("/debug/state").second.find("farm/nozzle@v1") != std::string::npos);

    std::atomic<bool> drained = false;
    fixture.service->drain([&] {
        drained = true;
    });
    // The watcher receives a report that the sidecar is leaving; then its stream ends.
    BOOST_REQUIRE(watch->waitFor([&] {
        return watch->end.has_value();
    }));
    const auto leaving = [](const peer::message &message) {
        const auto *report = std::get_if<peer::load_report>(&message);
        return report != nullptr && report->leaving;
    };
    BOOST_TEST(std::any_of(watch->messages.begin(), watch->messages.end(), leaving));
    BOOST_TEST(fixture.fetchPage("/readyz").first == 503);
    while (!drained) {
        std::this_thread::yield();
    }
}

BOOST_AUTO_TEST_CASE(unsupported_messages_are_refused)
{
    service_fixture fixture;
    const auto recorder = fixture.send(peer::run_end{});
    BOOST_REQUIRE(recorder->waitFor([&] {
        return recorder->end.has_value();
    }));
    BOOST_TEST((*recorder->end == peer::stream_end::not_processed));
}
