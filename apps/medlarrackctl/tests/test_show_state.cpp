#include "admin_fixture.hpp"

using namespace medlarrack;
using namespace medlarrack::ctl;

namespace {

struct state_fixture : ctl::testing::admin_fixture
{
    state_fixture()
    {
        wanted.command = "state";
        page = {200, "application/json",
                R"({"memory":{"heldBytes":5},"tenants":[{"tenant":"acme","refused":{"quota_exceeded":2,"x":1}}]})"};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(show_state, state_fixture)

// Guards against a command that knows the pages of other daemons only.
BOOST_AUTO_TEST_CASE(the_state_of_a_gateway_is_printed_as_text_or_as_json)
{
    BOOST_TEST(run() == daemon::exitOk);
    BOOST_TEST(target == "/state");
    BOOST_TEST(out.str() == "memory: heldBytes 5\ntenants: 1\n  refused (quota_exceeded 2, x 1), tenant acme\n");
    out.str("");
    wanted.json = true;
    BOOST_TEST(run() == daemon::exitOk);
    BOOST_TEST(out.str().starts_with("{\n"));
}

BOOST_AUTO_TEST_CASE(a_page_that_is_no_state_is_a_failure)
{
    page = {200, "text/plain", "state"};
    BOOST_TEST(run() == daemon::exitFailure);
    page = {404, "text/plain", "no such page\n"};
    BOOST_TEST(run() == daemon::exitFailure);
    BOOST_TEST(out.str().empty());
}

BOOST_AUTO_TEST_SUITE_END()
