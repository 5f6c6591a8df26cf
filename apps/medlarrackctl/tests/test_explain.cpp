#include "commands.hpp"
#include "explain.hpp"

#include <medlarrack/daemon/command_line.hpp>
#include <medlarrack/http/responder.hpp>
#include <medlarrack/http/server.hpp>

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <sstream>
#include <thread>

using namespace medlarrack;
using namespace medlarrack::ctl;

namespace {

constexpr const char *entryPage = R"({"request_id": "r 1", "dropped_events": 2, "events": [
    {"at_ms": 1000, "what": "accepted", "why": "key of slavonska", "known": {}},
    {"at_ms": 1010, "what": "routed", "why": "home", "known": {"target": "e-3"}}]})";
constexpr const char *sidecarPage = R"({"request_id": "r 1", "events": [{"at_ms": 1005, "what": "queued"}]})";

/// A daemon that knows one request.
class loopback_daemon
{
public:
    explicit loopback_daemon(std::string page)
        : m_page(std::move(page))
        , m_server(m_context, {}, [this](const http::request &request, const auto &responder) {
            const bool known = request.path() == "/debug/requests/r%201";
            const bool state = request.path() == "/debug/state";
            responder->respond(known || state ? 200 : 404, {}, state ? "{\"ready\":true}" : m_page);
        })
    {
        core::reason why;
        BOOST_REQUIRE(m_server.start("127.0.0.1", 0, why));
        m_thread = std::thread([this] {
            m_context.run();
        });
    }
    ~loopback_daemon()
    {
        m_server.stop();
        m_context.stop();
        m_thread.join();
    }
    loopback_daemon(const loopback_daemon &) = delete;
    loopback_daemon &operator=(const loopback_daemon &) = delete;

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(m_server.port());
    }

private:
    std::string m_page;
    asio::io_context m_context;
    http::server m_server;
    std::thread m_thread;
};

} // namespace

BOOST_AUTO_TEST_CASE(pages_of_daemons_are_joined_by_time)
{
    request_story story;
    BOOST_TEST(addPage(story, "entry", nlohmann::json::parse(entryPage)));
    BOOST_TEST(addPage(story, "sidecar", nlohmann::json::parse(sidecarPage)));
    std::ostringstream out;
    printStory(story, "r 1", out);
    BOOST_TEST(out.str() == R"(request r 1: 3 events from 2 daemons, 2 dropped
1970-01-01 00:00:01.000  +0 ms  entry  accepted: key of slavonska
1970-01-01 00:00:01.005  +5 ms  sidecar  queued
1970-01-01 00:00:01.010  +10 ms  entry  routed: home  {"target":"e-3"}
)");
}

BOOST_AUTO_TEST_CASE(a_page_of_another_form_is_not_taken)
{
    request_story story;
    for (const char *text : {"[]", "{}", "7", R"({"events": {}})"}) {
        BOOST_TEST(!addPage(story, "entry", nlohmann::json::parse(text)));
    }
    BOOST_TEST(addPage(story, "entry", nlohmann::json::parse(R"({"events": [1, {"at_ms": "x"}]})")));
    BOOST_TEST(story.events.size() == 1U);
}

BOOST_AUTO_TEST_CASE(daemons_are_asked_and_what_they_know_is_shown)
{
    const loopback_daemon entry(entryPage);
    const loopback_daemon sidecar(sidecarPage);
    std::ostringstream out;
    std::ostringstream err;
    BOOST_TEST(explain("r 1", {entry.url(), sidecar.url() + "/"}, out, err) == daemon::exitOk);
    BOOST_TEST(out.str().find("3 events from 2 daemons") != std::string::npos);
    BOOST_TEST(err.str() == "");
    BOOST_TEST(explain("r 2", {entry.url()}, out, err) == daemon::exitFailure);
    BOOST_TEST(err.str().find("no daemon knows request r 2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_state_is_printed_indented)
{
    const loopback_daemon entry(entryPage);
    std::ostringstream out;
    std::ostringstream err;
    BOOST_TEST(showState(entry.url(), out, err) == daemon::exitOk);
    BOOST_TEST(out.str() == "{\n  \"ready\": true\n}\n");
}
