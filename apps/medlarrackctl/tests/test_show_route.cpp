#include "arguments.hpp"
#include "commands.hpp"

#include <medlarrack/daemon/command_line.hpp>
#include <medlarrack/http1/page_server.hpp>

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>
#include <thread>

using namespace medlarrack;
using namespace medlarrack::ctl;

namespace {

/// An admin address that gives one page and records what is asked for.
struct admin_fixture
{
    admin_fixture()
    {
        core::reason why;
        BOOST_REQUIRE(server.listen({asio::ip::address_v4::loopback(), 0}, why));
        wanted.command = "route";
        wanted.operands = {"http://127.0.0.1:" + std::to_string(server.port())};
        runner = std::thread([this] {
            context.run();
        });
    }

    ~admin_fixture()
    {
        context.stop();
        runner.join();
    }

    int run(const std::string &input = "")
    {
        std::istringstream in(input);
        return runCommand(wanted, in, out, err);
    }

    http1::page page{200, "application/json", R"({"service":"s","candidates":[{"replica":"i-0","load":2}]})"};
    std::string target;
    asio::io_context context;
    http1::page_server server{context, [this](std::string_view asked) {
                                  target = asked;
                                  return page;
                              }};
    std::thread runner;
    arguments wanted;
    std::ostringstream out;
    std::ostringstream err;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(show_route, admin_fixture)

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
