#include "scripted_server.hpp"

#include <medlarrack/http1/call_client.hpp>
#include <medlarrack/http1/client_connection.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace medlarrack;
using namespace medlarrack::http1;
using testing::runUntil;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

using ending = scripted_answer::ending;

constexpr std::chrono::seconds connectLimit{10};

class recorder final : public call_observer
{
public:
    head_verdict onHead(const message_head &head) override
    {
        heads.push_back(head);
        if (onEachHead) {
            onEachHead();
        }
        return head.value("Id") == "other" ? head_verdict::skip : head_verdict::take;
    }

    void onBody(std::string &body) override
    {
        bytes += body;
        body.clear();
    }

    void onComplete() override
    {
        complete = true;
    }

    void onFailed(call_progress how, std::string_view) override
    {
        progress = how;
    }

    void clear()
    {
        heads.clear();
        bytes.clear();
        complete = false;
        progress.reset();
    }

    [[nodiscard]] bool isOver() const
    {
        return complete || progress;
    }

    std::function<void()> onEachHead;
    std::vector<message_head> heads;
    std::string bytes;
    bool complete = false;
    std::optional<call_progress> progress;
};

struct fixture
{
    asio::io_context context;
    scripted_answer answer{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    scripted_server server{context, [this](const scripted_server::seen_request &) {
                               return answer;
                           }};
    response_limits limits{.maxHeadBytes = 16'384, .maxInterimResponses = 5, .maxDroppedBytes = 8'192};
    std::shared_ptr<client_connection> connection = std::make_shared<client_connection>(context, limits);
    recorder seen;

    void call(std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    {
        if (connection->calls() == 0) {
            connection->connect(server.endpoint(), connectLimit);
        }
        connection->send(request, seen);
        BOOST_REQUIRE(runUntil(context, [this] {
            return seen.isOver();
        }));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(client_connection_suite, fixture)

BOOST_AUTO_TEST_CASE(a_whole_answer_keeps_the_connection)
{
    answer.bytes = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7\r\nContent-Length: 2\r\n\r\nok";
    call();
    BOOST_TEST(seen.bytes == "ok");
    BOOST_TEST(connection->isReusable());
    BOOST_TEST(connection->keepAlive().count() == 7);
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_dropped_whole)
{
    answer.bytes = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    call();
    BOOST_TEST(seen.complete);
    BOOST_TEST(seen.bytes == "ok");
    BOOST_TEST(!connection->isReusable());
}

// Guards against an answer that is taken for the first of its connection though another one came before.
BOOST_AUTO_TEST_CASE(a_connection_tells_whether_it_has_carried_an_answer)
{
    answer.bytes = "HTTP/1.1 103 Early Hints\r\n\r\n" + answer.bytes;
    std::vector<bool> answeredBefore;
    seen.onEachHead = [&] {
        answeredBefore.push_back(connection->hasAnswered());
    };
    call();
    seen.clear();
    call();
    seen.clear();
    answer.bytes = "HTTP/1.1 503 No\r\nId: other\r\nContent-Length: 0\r\n\r\n" + answer.bytes;
    connection = std::make_shared<client_connection>(context, limits);
    call();
    const std::vector<bool> expected{false, true, false, true};
    BOOST_TEST(answeredBefore == expected, boost::test_tools::per_element());
}

// Guards against a stand-in that waits, on the thread that also reads its answer, until an answer larger than the
// kernel's buffers is taken: neither would go on, and the test program would never end.
BOOST_DATA_TEST_CASE_F(fixture, an_answer_larger_than_the_buffers_of_the_kernel_arrives_whole_and_in_order,
                       boost::unit_test::data::make({false, true}), closes)
{
    constexpr std::size_t bodyBytes = 48'000'000;
    std::string body;
    for (std::size_t number = 0; body.size() < bodyBytes; ++number) {
        body += std::to_string(number) + ' ';
    }
    answer = {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
              closes ? ending::close : ending::keep};
    call();
    BOOST_TEST(seen.complete);
    BOOST_TEST((seen.bytes == body));
    if (!closes) {
        server.sendOn(1, "late");
    }
    BOOST_TEST(runUntil(context, [&] {
        return !connection->isReusable();
    }));
}

BOOST_AUTO_TEST_CASE(bytes_after_an_answer_cost_the_connection)
{
    answer.bytes += "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
    call();
    BOOST_TEST(seen.bytes == "ok");
    BOOST_TEST(!connection->isReusable());
}

BOOST_AUTO_TEST_CASE(bytes_on_an_idle_connection_cost_the_connection)
{
    call();
    server.sendUnasked("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
    BOOST_TEST(runUntil(context, [this] {
        return !connection->isReusable();
    }));
}

BOOST_AUTO_TEST_CASE(an_early_answer_costs_the_connection_as_the_rest_of_the_request_may_be_taken_for_another)
{
    answer.early = true;
    answer.bytes = "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno";
    std::string body;
    body.resize(67'108'864, 'x');
    call("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    BOOST_TEST(seen.complete);
    BOOST_TEST(!connection->isReusable());
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_is_whole_when_the_server_closes)
{
    answer = {"HTTP/1.1 200 OK\r\n\r\nok", scripted_answer::ending::close};
    call();
    BOOST_TEST(seen.complete);
    BOOST_TEST(seen.bytes == "ok");
    BOOST_TEST(!connection->isReusable());
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_is_broken_when_the_server_resets)
{
    answer = {"HTTP/1.1 200 OK\r\n\r\nok", scripted_answer::ending::reset};
    call();
    BOOST_TEST(!seen.complete);
    BOOST_TEST((seen.progress != call_progress::not_sent));
}

BOOST_AUTO_TEST_CASE(a_cut_answer_is_broken)
{
    answer = {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", scripted_answer::ending::close};
    call();
    BOOST_TEST((seen.progress == call_progress::answered));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_answer_fail_the_call)
{
    answer.bytes = "\x01\x02garbage\r\n\r\n";
    call();
    BOOST_TEST((seen.progress == call_progress::answered));
}

BOOST_AUTO_TEST_CASE(a_refused_connection_proves_that_nothing_was_sent)
{
    server.stop();
    call();
    BOOST_TEST((seen.progress == call_progress::not_sent));
}

BOOST_AUTO_TEST_CASE(a_kept_connection_that_closes_under_a_request_proves_nothing)
{
    call();
    seen.clear();
    answer = {"", scripted_answer::ending::reset};
    call();
    BOOST_TEST((seen.progress == call_progress::sent));
}

BOOST_AUTO_TEST_CASE(an_interim_answer_is_passed_over)
{
    answer.bytes = "HTTP/1.1 100 Continue\r\n\r\n" + answer.bytes;
    call();
    BOOST_TEST(seen.bytes == "ok");
    BOOST_TEST(seen.heads.size() == 1U);
}

BOOST_AUTO_TEST_CASE(interim_answers_without_end_fail_the_call)
{
    answer.bytes.clear();
    answer.endless = "HTTP/1.1 100 Continue\r\n\r\n";
    call();
    BOOST_TEST((seen.progress == call_progress::answered));
    BOOST_TEST(!connection->isReusable());
    BOOST_TEST(runUntil(context, [this] {
        return server.closedByPeer == 1;
    }));
}

BOOST_AUTO_TEST_CASE(answers_to_other_requests_without_end_fail_the_call)
{
    for (const char *endless : {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno", "x"}) {
        seen.clear();
        connection = std::make_shared<client_connection>(context, limits);
        answer.bytes = "HTTP/1.1 200 OK\r\nId: other\r\n";
        answer.bytes += endless[0] == 'x' ? "\r\n" : "Content-Length: 0\r\n\r\n";
        answer.endless = endless;
        call();
        BOOST_TEST((seen.progress == call_progress::answered));
        BOOST_TEST(seen.bytes.empty());
        BOOST_TEST(!connection->isReusable());
    }
}

BOOST_AUTO_TEST_CASE(dropped_answers_within_the_bound_do_not_fail_the_call)
{
    const std::string dropped =
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000\r\n\r\n" + std::string(1'000, 'x');
    answer.bytes = "HTTP/1.1 100 Continue\r\n\r\n" + dropped + dropped + answer.bytes;
    call();
    BOOST_TEST(seen.complete);
    BOOST_TEST(seen.bytes == "ok");
}

BOOST_AUTO_TEST_CASE(a_call_client_gives_up_on_an_answer_beyond_its_bound)
{
    answer.bytes = "HTTP/1.1 200 OK\r\n\r\n";
    answer.endless = "x";
    constexpr std::size_t maxBodyBytes = 1'024;
    call_client client(context, server.endpoint(), maxBodyBytes);
    std::string code;
    client.call("GET", "/", "", connectLimit,
                [&code](const std::optional<call_answer> &given, const core::reason &why) {
                    BOOST_TEST(!given);
                    code = why.code;
                });
    BOOST_REQUIRE(runUntil(context, [&] {
        return !code.empty();
    }));
    BOOST_TEST(code == "answer_too_long");
    BOOST_TEST(!client.isBusy());
}

BOOST_AUTO_TEST_CASE(a_cancelled_call_is_closed_at_the_server)
{
    answer.bytes = "";
    connection->connect(server.endpoint(), connectLimit);
    connection->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", seen);
    BOOST_REQUIRE(runUntil(context, [this] {
        return !server.requests.empty();
    }));
    connection->cancel();
    BOOST_TEST(runUntil(context, [this] {
        return server.closedByPeer == 1;
    }));
    BOOST_TEST(!seen.isOver());
}

BOOST_AUTO_TEST_CASE(a_call_client_reuses_its_connection_and_replaces_a_silent_one)
{
    constexpr std::size_t maxBodyBytes = 1'024;
    call_client client(context, server.endpoint(), maxBodyBytes);
    std::vector<int> statuses;
    const auto take = [&](const std::optional<call_answer> &given, const core::reason &why) {
        statuses.push_back(given ? given->status : 0);
        BOOST_TEST((given || why.code == "timeout"));
    };
    const auto callAndWait = [&](std::chrono::milliseconds limit) {
        const std::size_t before = statuses.size();
        client.call("GET", "/", "", limit, take);
        BOOST_REQUIRE(runUntil(context, [&] {
            return statuses.size() > before;
        }));
    };
    callAndWait(connectLimit);
    callAndWait(connectLimit);
    BOOST_TEST(server.connections == 1U);
    answer.bytes = "";
    callAndWait(std::chrono::milliseconds(20));
    answer.bytes = "HTTP/1.1 204 No Content\r\n\r\n";
    callAndWait(connectLimit);
    BOOST_TEST(server.connections == 2U);
    BOOST_TEST(statuses == std::vector<int>({200, 200, 0, 204}), boost::test_tools::per_element());
}

// Guards against an earlier answer, written once more, that is taken for the answer to the next call.
BOOST_AUTO_TEST_CASE(a_call_client_replaces_a_connection_with_unread_bytes)
{
    constexpr std::size_t maxBodyBytes = 1'024;
    call_client client(context, server.endpoint(), maxBodyBytes);
    std::vector<std::string> bodies;
    const auto take = [&](const std::optional<call_answer> &given, const core::reason &) {
        bodies.push_back(given ? given->body : "no answer");
    };
    const std::string first = answer.bytes;
    for (std::size_t cut = 1; cut <= first.size(); ++cut) {
        bodies.clear();
        answer.bytes = first;
        client.call("GET", "/", "", connectLimit, take);
        BOOST_REQUIRE(runUntil(context, [&] {
            return bodies.size() == 1;
        }));
        server.sendUnasked(first.substr(0, cut));
        answer.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew";
        client.call("GET", "/", "", connectLimit, take);
        BOOST_REQUIRE(runUntil(context, [&] {
            return bodies.size() == 2;
        }));
        BOOST_TEST(bodies.back() == "new");
        BOOST_TEST(server.connections == cut + 1);
    }
}

namespace {

std::string answerTo(std::string_view id, std::string_view body)
{
    return "HTTP/1.1 200 OK\r\n" + (id.empty() ? "" : "Call-Id: " + std::string(id) + "\r\n")
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

/// Answers each request, with bytes ahead of the answer to the second one.
struct echo_fixture : fixture
{
    std::string added;
    bool echoes = true;
    std::vector<std::string> ids;
    scripted_server echo{context, [this](const scripted_server::seen_request &request) {
                             ids.emplace_back(request.head.value("Call-Id"));
                             const std::string id = echoes ? ids.back() : "";
                             return scripted_answer{(ids.size() == 2 ? added : "")
                                                    + answerTo(id, "to " + std::to_string(ids.size()))};
                         }};
    call_client client{context, echo.endpoint(), 1'024, "Call-Id"};

    std::string callForEnd()
    {
        std::string end;
        client.call("GET", "/", "", connectLimit,
                    [&end](const std::optional<call_answer> &given, const core::reason &why) {
                        end = given ? given->body : why.code;
                    });
        BOOST_REQUIRE(runUntil(context, [&] {
            return !end.empty();
        }));
        return end;
    }
};

} // namespace

// Guards against the copy of an earlier answer that is taken for the answer to the next call.
BOOST_FIXTURE_TEST_CASE(a_call_client_drops_an_answer_that_names_another_call, echo_fixture)
{
    BOOST_TEST(callForEnd() == "to 1");
    added = answerTo(ids.front(), "copy");
    BOOST_TEST(callForEnd() == "to 2");
    BOOST_TEST(callForEnd() == "to 3");
    BOOST_TEST(echo.connections == 2U);
    BOOST_TEST(ids[0] != ids[1]);
}

// Guards against an answer that names no call and is taken by its place.
BOOST_FIXTURE_TEST_CASE(a_call_client_fails_a_call_whose_answer_names_none_on_a_kept_connection, echo_fixture)
{
    BOOST_TEST(callForEnd() == "to 1");
    added = answerTo("", "anonymous");
    BOOST_TEST(callForEnd() == call_client::unprovenAnswer);
    BOOST_TEST(callForEnd() == "to 3");
    BOOST_TEST(echo.connections == 2U);
}

// Guards against calls that all fail at a server that names no calls, and against the connections of one that does.
BOOST_FIXTURE_TEST_CASE(a_call_client_tells_whether_the_next_answer_can_be_proven, echo_fixture)
{
    for (int count = 1; count <= 10; ++count) {
        BOOST_TEST(callForEnd() == "to " + std::to_string(count));
        BOOST_TEST(client.isAnswerProvable());
    }
    BOOST_TEST(echo.connections == 1U);
    echoes = false;
    BOOST_TEST(callForEnd() == call_client::unprovenAnswer);
    BOOST_TEST(client.isAnswerProvable());
    for (int count = 12; count <= 20; ++count) {
        BOOST_TEST(callForEnd() == "to " + std::to_string(count));
        BOOST_TEST(!client.isAnswerProvable());
        client.disconnect();
        BOOST_TEST(client.isAnswerProvable());
    }
    BOOST_TEST(echo.connections == 10U);
}

BOOST_AUTO_TEST_SUITE_END()
