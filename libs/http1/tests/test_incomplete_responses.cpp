// Responses of which a client gets only a part, or none, though the connection ends like that of a whole one.

#include "scripted_server.hpp"

#include <medlarrack/http1/call_client.hpp>
#include <medlarrack/http1/client_connection.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>
#include <string>
#include <vector>

using namespace medlarrack;
using namespace medlarrack::http1;
using testing::runUntil;
using testing::scripted_answer;
using testing::scripted_server;
using ending = scripted_answer::ending;
namespace data = boost::unit_test::data;

namespace {

/// More than the system takes for a server that doesn't read.
constexpr std::size_t uploadBytes = 67'108'864;
constexpr std::chrono::seconds limit{10};

struct response_case
{
    const char *name;
    std::string bytes;
};

std::ostream &operator<<(std::ostream &out, const response_case &response)
{
    return out << response.name;
}

/// Only the end of the connection ends their bodies.
const std::vector<response_case> withoutLength = {
    {"HTTP/1.1", "HTTP/1.1 200 OK\r\n\r\npart"},
    {"HTTP/1.1, closes", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"},
    {"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart"},
    {"HTTP/1.0, keeps", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\npart"},
    {"no body yet", "HTTP/1.1 200 OK\r\n\r\n"},
    {"long body", "HTTP/1.1 200 OK\r\n\r\n" + std::string(100'000, 'x')},
};

const std::vector<response_case> withLength = {
    {"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
};

const std::string fields = "Content-Length: 2\r\n\r\nok";

const std::vector<response_case> withoutStatus = {
    {"000", "HTTP/1.1 000 OK\r\n" + fields},
    {"000 without a length", "HTTP/1.1 000 OK\r\n\r\nok"},
    {"001", "HTTP/1.1 001 OK\r\n" + fields},
    {"099", "HTTP/1.1 099 OK\r\n" + fields},
    {"600", "HTTP/1.1 600 OK\r\n" + fields},
    {"999", "HTTP/1.1 999 OK\r\n" + fields},
    {"2", "HTTP/1.1 2 OK\r\n" + fields},
    {"20", "HTTP/1.1 20 OK\r\n" + fields},
    {"0200", "HTTP/1.1 0200 OK\r\n" + fields},
    {"2000", "HTTP/1.1 2000 OK\r\n" + fields},
    {"4294967496", "HTTP/1.1 4294967496 OK\r\n" + fields},
    {"negative", "HTTP/1.1 -200 OK\r\n" + fields},
    {"fraction", "HTTP/1.1 200.0 OK\r\n" + fields},
    {"words", "HTTP/1.1 OK\r\n" + fields},
    {"words behind digits", "HTTP/1.1 200OK\r\n" + fields},
    {"nothing", "HTTP/1.1\r\n" + fields},
    {"blank", "HTTP/1.1 \r\n" + fields},
    {"line ends before the status", "HTTP/1.1\r\n200 OK\r\n" + fields},
    {"line ends before the status, continued", "HTTP/1.1\r\n 200 OK\r\n" + fields},
    {"line ends behind the blank", "HTTP/1.1 \r\n200 OK\r\n" + fields},
    {"line ends inside the status", "HTTP/1.1 20\r\n0 OK\r\n" + fields},
    {"interim 000 before it", "HTTP/1.1 000 Wait\r\n\r\nHTTP/1.1 200 OK\r\n" + fields},
};

class recorder final : public call_observer
{
public:
    head_verdict onHead(const message_head &) override
    {
        ++heads;
        return head_verdict::take;
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

    std::size_t heads = 0;
    std::string bytes;
    bool complete = false;
    std::optional<call_progress> progress;
};

struct incomplete_fixture
{
    asio::io_context context;
    scripted_answer answer;
    scripted_server server{context, [this](const scripted_server::seen_request &) {
                               return answer;
                           }};
    std::shared_ptr<client_connection> connection = std::make_shared<client_connection>(context);
    recorder seen;

    void upload(std::size_t bytes = uploadBytes)
    {
        connection->connect(server.endpoint(), limit);
        connection->send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
                             + std::string(bytes, 'x'),
                         seen);
        BOOST_REQUIRE(runUntil(context, [this] {
            return seen.complete || seen.progress;
        }));
    }

    /// Null if the call failed.
    std::optional<call_answer> call(std::size_t bytes)
    {
        call_client client(context, server.endpoint(), 1'000'000, "");
        std::optional<call_answer> given;
        bool ended = false;
        client.call("POST", "/", std::string(bytes, 'x'), limit,
                    [&](std::optional<call_answer> result, const core::reason &) {
                        given = std::move(result);
                        ended = true;
                    });
        BOOST_REQUIRE(runUntil(context, [&] {
            return ended;
        }));
        return given;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(incomplete_responses, incomplete_fixture)

// Guards against a part of a body that passes for the whole because the connection has ended while the request was
// still being written.
BOOST_DATA_TEST_CASE_F(incomplete_fixture, a_response_that_breaks_off_during_the_upload_fails,
                       data::make(withoutLength) * data::make({ending::close, ending::reset, ending::end_side}),
                       response, then)
{
    answer = {response.bytes, then, true, {}};
    upload();
    BOOST_TEST(!seen.complete);
    BOOST_TEST(!connection->isReusable());
    BOOST_TEST(!call(uploadBytes));
}

// Guards against responses without a length that are taken for broken though the server has got the whole request.
BOOST_DATA_TEST_CASE_F(incomplete_fixture, a_response_without_a_length_after_the_upload_is_whole,
                       data::make(withoutLength), response)
{
    constexpr std::size_t longRequest = 1'000'000;
    answer = {response.bytes, ending::close};
    upload(longRequest);
    BOOST_TEST(seen.complete);
    BOOST_TEST(call(longRequest).has_value());
}

// Guards against a correct response that is dropped because the upload could not be finished.
BOOST_DATA_TEST_CASE_F(incomplete_fixture, a_whole_response_during_the_upload_is_passed_on,
                       data::make(withLength)
                           * data::make({ending::keep, ending::close, ending::reset, ending::end_side}),
                       response, then)
{
    answer = {response.bytes, then, true, {}};
    upload();
    BOOST_TEST(seen.complete);
    BOOST_TEST(seen.bytes == "whole");
    BOOST_TEST(!connection->isReusable());
}

// Guards against a response whose status is none, which passes for an interim one or for a final one.
BOOST_DATA_TEST_CASE_F(incomplete_fixture, a_response_without_a_valid_status_fails,
                       data::make(withoutStatus) * data::make({ending::keep, ending::close}), response, then)
{
    answer = {response.bytes, then};
    upload(1);
    BOOST_TEST(!seen.complete);
    BOOST_TEST(seen.heads == 0U);
    BOOST_TEST(seen.bytes.empty());
    BOOST_TEST((seen.progress == call_progress::answered));
    BOOST_TEST(!call(1));
}

BOOST_AUTO_TEST_CASE(the_first_and_the_last_valid_status_are_taken)
{
    for (const char *status : {"200", "599"}) {
        recorder fresh;
        connection = std::make_shared<client_connection>(context);
        answer = {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + std::string(status) + " Any\r\n" + fields};
        connection->connect(server.endpoint(), limit);
        connection->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", fresh);
        BOOST_TEST(runUntil(context, [&] {
            return fresh.complete;
        }));
    }
}

BOOST_AUTO_TEST_SUITE_END()
