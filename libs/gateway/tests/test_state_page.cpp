#include "../src/state_page.hpp"
#include "fleet_fixture.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace medlarrack;
using namespace medlarrack::gateway;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

struct fixture : medlarrack::gateway::testing::fleet_fixture
{
    json page()
    {
        const http1::page made = describeState(
            {clock.now(), routes, table, limiter, counts, waiters, load, account, callers, descriptor_use{40, 1'024}});
        BOOST_TEST(made.status == 200);
        return json::parse(made.body);
    }

    catalog::route_table routes;
    quota::tenant_limiter limiter;
    tenant_counts counts;
    capacity_waiters waiters;
    own_load load{{}};
    overload::byte_account account{1'000'000, 100'000, 1'000};
    caller_use callers{3, 100, 2, 70, {}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(state_page, fixture)

// Load: a tenant over its quota beside one within it. Guards against refusals that can't be told apart, and against a
// quota whose use isn't shown.
BOOST_AUTO_TEST_CASE(tenants_are_shown_with_their_outcomes_and_their_quota)
{
    counts.recordServed("acme");
    counts.recordRefused("acme", "quota_exceeded");
    counts.recordRefused("acme", "quota_exceeded");
    counts.recordFailed("acme", "timeout");
    counts.recordServed("other");
    BOOST_TEST(limiter.admit("acme", {1'000, 500}, 200, clock.now()));
    static_cast<void>(limiter.takeReports(
        "a",
        [](std::string_view) {
            return true;
        },
        clock.now()));
    limiter.recordTotal("a", {"acme", 300, 5});
    const json tenants = page()["tenants"];
    BOOST_TEST_REQUIRE(tenants.size() == 2U);
    const json &acme = tenants[0];
    BOOST_TEST(acme["tenant"] == "acme");
    BOOST_TEST(acme["served"] == 1);
    BOOST_TEST(acme["refused"]["quota_exceeded"] == 2);
    BOOST_TEST(acme["failed"]["timeout"] == 1);
    BOOST_TEST(acme["usedUnits"] == 200);
    BOOST_TEST(acme["limitPerSecond"] == 1'000);
    BOOST_TEST(acme["left"] == 300);
    BOOST_TEST(acme["usedOfBurst"] == 0.4);
    BOOST_TEST(acme["askedPerSecond"].get<double>() > 0);
    BOOST_TEST(acme["share"].get<double>() > 0);
    BOOST_TEST(!tenants[1].contains("limitPerSecond"));
}

// Load: requests of two urgencies wait for a full service. Guards against a queue that grows unseen.
BOOST_AUTO_TEST_CASE(queued_requests_are_shown_by_rank_with_the_oldest_wait)
{
    waiters.setEnabled(true);
    const auto queue = [this](std::uint32_t urgency) {
        waiting_request request;
        request.urgency = urgency;
        request.bytes = 10;
        request.latestStart = clock.now() + milliseconds(5'000);
        waiters.add("llm", request, {}, clock.now());
    };
    queue(2);
    clock.advance(milliseconds(300));
    queue(2);
    queue(0);
    const json shown = page();
    BOOST_TEST(shown["queue"]["enabled"] == true);
    BOOST_TEST(shown["queue"]["requests"] == 3);
    const json expected =
        json::array({{{"service", "llm"}, {"rank", 2}, {"requests", 2}, {"bytes", 20}, {"oldestWaitMs", 300}},
                     {{"service", "llm"}, {"rank", 0}, {"requests", 1}, {"bytes", 10}, {"oldestWaitMs", 0}}});
    BOOST_TEST(shown["queued"] == expected);
}

// Guards against learned figures that operators can't compare with what they measure.
BOOST_AUTO_TEST_CASE(learned_figures_of_replicas_are_shown)
{
    add("fast", "dc1", "plain")->speed.recordAnswer(milliseconds(20), 1, clock.now());
    add("slow", "dc1", "plain")->speed.recordAnswer(milliseconds(80), 1, clock.now());
    addEngines(1);
    table.find("e0")->addPendingPrefillTokens(3'800, clock.now());
    const json shown = page();
    BOOST_TEST_REQUIRE(shown["plainReplicas"].size() == 2U);
    BOOST_TEST(shown["plainReplicas"][0]["replica"] == "slow");
    BOOST_TEST(shown["plainReplicas"][0]["workMs"] == 80);
    BOOST_TEST_REQUIRE(shown["engines"].size() == 1U);
    BOOST_TEST(shown["engines"][0]["prefillTokensPerMs"] == 38);
    BOOST_TEST(shown["engines"][0]["prefillWaitMs"] == 100);
}

// Load: a client floods from one address. Guards against memory that can't be attributed.
BOOST_AUTO_TEST_CASE(the_largest_holders_of_memory_and_the_own_load_are_shown)
{
    const auto holding = account.hold("10.0.0.9", [] {});
    static_cast<void>(holding->resize(5'000));
    account.setUnshared(400);
    callers.smallBytesByAddress = {{"10.0.0.7", 100}, {"10.0.0.9", 300}};
    const json shown = page();
    BOOST_TEST(shown["memory"]["heldBytes"] == 5'400);
    BOOST_TEST(shown["memory"]["maxHeldBytes"] == 1'000'000);
    const json expected =
        json::array({{{"holder", "10.0.0.9"}, {"bytes", 5'300}}, {{"holder", "10.0.0.7"}, {"bytes", 100}}});
    BOOST_TEST(shown["holders"] == expected);
    BOOST_TEST(shown["connections"]["open"] == 3);
    BOOST_TEST(shown["ownLoad"]["descriptors"] == 40);
    BOOST_TEST(shown["ownLoad"]["maxDescriptors"] == 1'024);
}

// Guards against a page that takes the memory of a small gateway, or that hides that it is cut.
BOOST_AUTO_TEST_CASE(lists_are_cut_and_the_number_left_out_is_shown)
{
    for (int index = 0; index < 70; ++index) {
        const std::string name = "n" + std::to_string(index);
        for (int request = 0; request <= index; ++request) {
            counts.recordServed(name);
        }
        add(name, "dc1", "plain");
        callers.smallBytesByAddress[name] = 10;
    }
    const json shown = page();
    BOOST_TEST(shown["tenants"].size() == maxStateEntries);
    BOOST_TEST(shown["tenants"][0]["tenant"] == "n69");
    for (const char *name : {"tenants", "plainReplicas", "holders"}) {
        BOOST_TEST(shown[name].size() == maxStateEntries);
        BOOST_TEST(shown["leftOut"][name] == 20);
    }
    BOOST_TEST(!shown["leftOut"].contains("engines"));
}

// Guards against counts that grow with each tenant that a state has ever named.
BOOST_AUTO_TEST_CASE(tenants_beyond_a_bound_are_counted_together)
{
    tenant_counts few(2);
    for (const char *name : {"a", "b", "c", "d", "a"}) {
        few.recordRefused(name, "x");
    }
    BOOST_TEST(few.all().size() == 3U);
    BOOST_TEST(few.all().at("a").refused.at("x") == 2U);
    BOOST_TEST(few.all().at("other").refused.at("x") == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
