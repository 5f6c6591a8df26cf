#include <medlarrack/core/manual_clock.hpp>
#include <medlarrack/gateway/adapter_demand.hpp>
#include <medlarrack/gateway/attempt_policy.hpp>
#include <medlarrack/gateway/event_splitter.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace medlarrack::gateway;
using std::chrono::milliseconds;

namespace {

catalog::route makeRoute(catalog::retry_safety retrySafety, std::uint32_t attempts)
{
    catalog::route made;
    made.retrySafety = retrySafety;
    made.maxAttempts = attempts;
    return made;
}

const catalog::route once = makeRoute(catalog::retry_safety::at_most_once, 2);
const catalog::route idempotent = makeRoute(catalog::retry_safety::idempotent, 2);

} // namespace

BOOST_AUTO_TEST_SUITE(attempts)

BOOST_AUTO_TEST_CASE(a_request_that_may_run_once_is_never_sent_again_after_it_may_have_run)
{
    BOOST_TEST(!mayRetry(once, attempt_outcome::unknown, {1, 0}));
    BOOST_TEST(mayRetry(once, attempt_outcome::not_run, {0, 1}));
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_runs_on_no_more_replicas_than_its_route_allows)
{
    BOOST_TEST(mayRetry(idempotent, attempt_outcome::unknown, {1, 0}));
    BOOST_TEST(!mayRetry(idempotent, attempt_outcome::unknown, {2, 0}));
    BOOST_TEST(!mayRetry(makeRoute(catalog::retry_safety::idempotent, 1), attempt_outcome::unknown, {1, 0}));
}

BOOST_AUTO_TEST_CASE(rejections_are_bounded)
{
    BOOST_TEST(mayRetry(once, attempt_outcome::not_run, {0, 2}));
    BOOST_TEST(!mayRetry(once, attempt_outcome::not_run, {0, 3}));
    BOOST_TEST(!mayRetry(idempotent, attempt_outcome::not_run, {2, 1}));
}

BOOST_AUTO_TEST_CASE(events_are_cut_behind_whole_ones)
{
    event_splitter splitter;
    std::string bytes = "id: 1\ndata: a\n\nid: 2\ndata";
    BOOST_TEST(splitter.takeCompleteEvents(bytes) == "id: 1\ndata: a\n\n");
    BOOST_TEST(bytes == "id: 2\ndata");
    BOOST_TEST(splitter.lastEventId() == "1");
    bytes += ": b\n";
    BOOST_TEST(splitter.takeCompleteEvents(bytes).empty());
    bytes += "\nid:3\r\ndata: c\r\n\r\n";
    BOOST_TEST(splitter.takeCompleteEvents(bytes) == "id: 2\ndata: b\n\nid:3\r\ndata: c\r\n\r\n");
    BOOST_TEST(bytes.empty());
    BOOST_TEST(splitter.lastEventId() == "3");
    BOOST_TEST(splitter.eventCount() == 3U);
}

BOOST_AUTO_TEST_CASE(demand_decays)
{
    core::manual_clock clock;
    adapter_demand demand;
    double busy = 0;
    for (int request = 0; request < 20; ++request) {
        clock.advance(milliseconds(500));
        busy = demand.recordRequest("m/busy", clock.now());
    }
    BOOST_TEST(busy > 5);
    clock.advance(milliseconds(20'000));
    BOOST_TEST(demand.recordRequest("m/busy", clock.now()) < 2);
}

BOOST_AUTO_TEST_CASE(the_number_of_demand_counts_is_bounded)
{
    core::manual_clock clock;
    adapter_demand demand;
    for (int index = 0; index < 50'000; ++index) {
        clock.advance(milliseconds(1));
        static_cast<void>(demand.recordRequest("m/a" + std::to_string(index), clock.now()));
    }
    BOOST_TEST(demand.size() <= 20'000U);
}

BOOST_AUTO_TEST_CASE(callers_wait_for_the_longest_of_two_seconds_four_targets_and_eight_pauses)
{
    catalog::route route;
    route.latencyTarget = milliseconds(500);
    route.gapTarget = milliseconds(250);
    BOOST_TEST((callerIdleTimeout(route) == milliseconds(2'000)));
    route.gapTarget = milliseconds(300);
    BOOST_TEST((callerIdleTimeout(route) == milliseconds(2'400)));
    route.latencyTarget = milliseconds(1'000);
    BOOST_TEST((callerIdleTimeout(route) == milliseconds(4'000)));
}

// Guards against a request that is given up after it may have run, although a replica can take it in a moment, and
// against requests that have not run and are queued where their callers can go elsewhere.
BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_waits_for_a_replica_that_is_expected)
{
    for (const bool isCallerRetry : {false, true}) {
        BOOST_TEST(awaitsReplica({1, 0}, {.saturated = true}, isCallerRetry));
        BOOST_TEST(awaitsReplica({1, 2}, {.engineStarting = true}, isCallerRetry));
        BOOST_TEST(awaitsReplica({2, 0}, {.hindered = true}, isCallerRetry));
        BOOST_TEST(!awaitsReplica({1, 0}, {}, isCallerRetry));
        BOOST_TEST(awaitsReplica({0, 1}, {.engineStarting = true}, isCallerRetry));
        BOOST_TEST(awaitsReplica({0, 1}, {.saturated = true}, isCallerRetry) == isCallerRetry);
        BOOST_TEST(!awaitsReplica({0, 0}, {.hindered = true}, isCallerRetry));
        BOOST_TEST(!awaitsReplica({0, 0}, {}, isCallerRetry));
    }
}

BOOST_AUTO_TEST_SUITE_END()
