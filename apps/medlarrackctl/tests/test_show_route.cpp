#include "admin_fixture.hpp"

using namespace medlarrack;
using namespace medlarrack::ctl;

namespace {

struct route_fixture : ctl::testing::admin_fixture
{
    route_fixture()
    {
        wanted.command = "route";
        page = {200, "application/json", R"({"service":"s","candidates":[{"replica":"i-0","load":2}]})"};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(show_route, route_fixture)

// Guards against fields that are lost or that end the query early.
BOOST_AUTO_TEST_CASE(a_request_of_headers_is_put_into_the_query)
{
    wanted.operands.emplace_back("/a/x?y=1&z");
    wanted.headers = {"Host: h", "Model: m n"};
    wanted.tenant = "acme & co";
    BOOST_TEST(run() == daemon::exitOk);
    BOOST_TEST(target
               == "/route?target=/a/x%3Fy%3D1%26z&header=Host%3A%20h&header=Model%3A%20m%20n"
                  "&tenant=acme%20%26%20co");
    BOOST_TEST(out.str() == "candidates: 1\n  load 2, replica i-0\nservice: s\n");
}

BOOST_AUTO_TEST_CASE(a_request_file_is_read_up_to_the_end_of_its_head)
{
    wanted.request = "-";
    wanted.json = true;
    BOOST_TEST(run("GET /a/x HTTP/1.1\nHost: h\n") == daemon::exitOk);
    BOOST_TEST(target == "/route?target=/a/x&header=Host%3A%20h");
    BOOST_TEST(out.str().starts_with("{\n"));
}

// Guards against a predicted refusal that is taken for a failure of the command, or that hides when to return.
BOOST_AUTO_TEST_CASE(a_predicted_refusal_is_printed_with_its_retry_after)
{
    wanted.operands.emplace_back("/a/x");
    page.body = R"({"decision":{"outcome":"refused","status":429,"code":"quota_exceeded","retryAfterMs":250}})";
    BOOST_TEST(run() == daemon::exitOk);
    BOOST_TEST(out.str() == "decision: code quota_exceeded, outcome refused, retryAfterMs 250, status 429\n");
}

// Guards against keys in logs of what lies between, and in the memory of the gateway's admin page.
BOOST_AUTO_TEST_CASE(a_request_with_a_key_is_not_sent)
{
    wanted.request = "-";
    BOOST_TEST(run("GET /a/x HTTP/1.1\r\nHost: h\r\nCredential: secret\r\n\r\n") == daemon::exitUsage);
    BOOST_TEST(target.empty());
    BOOST_TEST(err.str().find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_page_that_is_no_explanation_is_a_failure)
{
    wanted.operands.emplace_back("/a/x");
    page = {404, "text/plain", "no such page\n"};
    BOOST_TEST(run() == daemon::exitFailure);
}

BOOST_AUTO_TEST_SUITE_END()
