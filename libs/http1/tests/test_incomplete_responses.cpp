// Responses of which a client gets only a part, or none, though the connection ends like that of a whole one.

#include "scripted_server.hpp"

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

const std::vector<response_case> withLength = {
    {"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
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
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(incomplete_responses, incomplete_fixture)

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

BOOST_AUTO_TEST_SUITE_END()
