#include "fakes.hpp"

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace medlarrack::sidecar::tests;
using core::outcome;
using engine::call_end;
using engine::order_end;

BOOST_AUTO_TEST_CASE(requests_that_ran_at_a_crash_are_told_so_and_queued_ones_run_afterwards)
{
    dispatcher_bed bed;
    const auto ran = bed.startOne(dispatcher_bed::completion("r1", "a"));
    const auto once = bed.submit(dispatcher_bed::onceOnly(dispatcher_bed::completion("r2", "a")));
    const auto queued = bed.submit(dispatcher_bed::completion("r3", "b"));
    bed.clock.advance(100ms);
    bed.driver.end(0, call_end::broken, "broken_answer");
    bed.driver.end(1, call_end::broken, "broken_answer");
    // Nothing is said before it is known whether the engine crashed.
    BOOST_TEST(!ran->refusal().has_value());
    const auto restarted = static_cast<std::uint64_t>(bed.clock.wallNow().time_since_epoch().count());
    bed.driver.answerPoll(dispatcher_bed::engineLoad(restarted));
    for (const auto &reply : {ran, once}) {
        BOOST_REQUIRE(reply->refusal().has_value());
        BOOST_TEST((reply->refusal()->outcome == outcome::unknown));
        BOOST_TEST(reply->refusal()->targetCrashed);
    }
    BOOST_TEST(ran->refusal()->tryElsewhere);
    BOOST_TEST(!once->refusal()->tryElsewhere);
    // The load of b was lost with the engine and is ordered again.
    BOOST_TEST(!queued->refusal().has_value());
    const auto &last = bed.driver.orders.back();
    BOOST_TEST(last.isLoad);
    BOOST_TEST(last.adapter.toString() == "farm/b@v1");
    // The answer to the order from before the crash says nothing.
    bed.driver.answerOrder(1, order_end::done);
    BOOST_TEST(bed.driver.calls.size() == 2U);
    last.callback(order_end::done);
    BOOST_TEST(bed.driver.calls.size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_broken_connection_alone_is_no_crash)
{
    dispatcher_bed bed;
    const auto reply = bed.startOne(dispatcher_bed::completion("r1", "a"));
    bed.clock.advance(100ms);
    bed.driver.end(0, call_end::broken, "broken_answer");
    bed.driver.answerPoll(dispatcher_bed::engineLoad());
    BOOST_REQUIRE(reply->refusal().has_value());
    BOOST_TEST(!reply->refusal()->targetCrashed);
}

BOOST_AUTO_TEST_CASE(a_poll_begun_before_the_break_clears_nobody)
{
    dispatcher_bed bed;
    const auto reply = bed.startOne(dispatcher_bed::completion("r1", "a"));
    bed.pass(500ms);
    BOOST_REQUIRE(bed.driver.polls.size() == 1U);
    bed.clock.advance(10ms);
    bed.driver.end(0, call_end::broken, "broken_answer");
    bed.driver.answerPoll(dispatcher_bed::engineLoad());
    BOOST_TEST(!reply->refusal().has_value());
    bed.subject.tick();
    const auto restarted = static_cast<std::uint64_t>(bed.clock.wallNow().time_since_epoch().count());
    bed.driver.answerPoll(dispatcher_bed::engineLoad(restarted));
    BOOST_TEST(reply->refusal()->targetCrashed);
}

BOOST_AUTO_TEST_CASE(an_engine_that_stays_away_counts_as_crashed)
{
    dispatcher_bed bed;
    const auto reply = bed.startOne(dispatcher_bed::completion("r1", "a"));
    const auto queued = bed.submit(dispatcher_bed::completion("r2", "b"));
    bed.driver.end(0, call_end::broken, "broken_answer");
    for (int i = 0; i < 25; ++i) {
        while (!bed.driver.polls.empty()) {
            bed.driver.answerPoll(std::nullopt);
        }
        bed.pass(50ms);
    }
    BOOST_REQUIRE(reply->refusal().has_value());
    BOOST_TEST(reply->refusal()->targetCrashed);
    BOOST_TEST(queued->refusal()->code == "target_unreachable");
    BOOST_TEST((queued->refusal()->outcome == outcome::not_run));
    BOOST_TEST(!bed.subject.ready());
}

BOOST_AUTO_TEST_CASE(a_restart_breaks_off_connections_that_hang)
{
    dispatcher_bed bed;
    const auto reply = bed.startOne(dispatcher_bed::completion("r1", "a"));
    bed.pass(500ms);
    const auto restarted = static_cast<std::uint64_t>(bed.clock.wallNow().time_since_epoch().count());
    bed.driver.answerPoll(dispatcher_bed::engineLoad(restarted));
    BOOST_REQUIRE(bed.driver.cancelled.size() == 1U);
    bed.driver.end(0, call_end::cancelled, "cancelled");
    BOOST_TEST(reply->refusal()->targetCrashed);
    BOOST_TEST(reply->refusal()->code == "target_crashed");
}

BOOST_AUTO_TEST_CASE(after_a_pause_nothing_from_before_it_is_started_or_ordered)
{
    dispatcher_bed bed;
    bed.bringUp();
    const auto queued = bed.submit(dispatcher_bed::completion("r1", "a"));
    BOOST_REQUIRE(bed.driver.orders.size() == 1U);
    bed.clock.advance(10min);
    // The first thing after waking is the answer to the old order.
    bed.driver.answerOrder(0, order_end::done);
    BOOST_TEST(bed.driver.calls.empty());
    BOOST_REQUIRE(queued->refusal().has_value());
    BOOST_TEST((queued->refusal()->outcome == outcome::not_run));
    // A message that may have waited in a socket through the pause is not trusted either.
    const auto stale = bed.submit(dispatcher_bed::completion("r2", "a"));
    BOOST_TEST(stale->refusal()->code == "paused");
    BOOST_TEST(stale->refusal()->tryElsewhere);
    bed.pass(500ms);
    const auto fresh = bed.submit(dispatcher_bed::completion("r3", "a"));
    BOOST_TEST(!fresh->refusal().has_value());
    BOOST_TEST(bed.driver.calls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_pause_on_the_wall_clock_alone_counts)
{
    dispatcher_bed bed;
    bed.bringUp();
    const auto queued = bed.submit(dispatcher_bed::completion("r1", "a"));
    bed.clock.skewWall(10min);
    bed.subject.tick();
    BOOST_TEST(queued->refusal()->code == "paused");
}

BOOST_AUTO_TEST_CASE(a_running_request_survives_a_pause)
{
    dispatcher_bed bed;
    const auto reply = bed.startOne(dispatcher_bed::completion("r1", "a"));
    bed.clock.advance(10min);
    bed.driver.calls[0].callbacks.onHead(200, {});
    bed.driver.calls[0].callbacks.onData("x");
    bed.driver.end(0, call_end::complete);
    BOOST_TEST(reply->all<peer::run_end>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_sidecar_whose_order_is_refused_as_old_gives_no_more)
{
    dispatcher_bed bed;
    bed.bringUp();
    const auto first = bed.submit(dispatcher_bed::completion("r1", "a"));
    bed.driver.answerOrder(0, order_end::old_fence);
    BOOST_TEST(first->refusal()->code == "superseded");
    BOOST_TEST((first->refusal()->outcome == outcome::not_run));
    BOOST_TEST(bed.submit(dispatcher_bed::completion("r2", "b"))->refusal()->code == "superseded");
    bed.pass(30s);
    BOOST_TEST(bed.driver.orders.size() == 1U);
    BOOST_TEST(!bed.subject.ready());
    BOOST_TEST(bed.subject.state().superseded);
}

BOOST_AUTO_TEST_CASE(an_order_overtaken_by_a_later_one_of_the_same_sidecar_is_given_again)
{
    dispatcher_bed bed;
    bed.bringUp();
    const auto first = bed.submit(dispatcher_bed::completion("r1", "a"));
    const auto second = bed.submit(dispatcher_bed::completion("r2", "b"));
    BOOST_REQUIRE(bed.driver.orders.size() == 2U);
    bed.driver.answerOrder(1, order_end::done);
    bed.driver.answerOrder(0, order_end::old_fence);
    BOOST_TEST(!bed.subject.state().superseded);
    BOOST_REQUIRE(bed.driver.orders.size() == 3U);
    BOOST_TEST(bed.driver.orders[2].adapter.toString() == "farm/a@v1");
    BOOST_TEST(bed.driver.orders[2].fence > bed.driver.orders[1].fence);
    // Refused with no later order given, it is proof.
    bed.driver.answerOrder(2, order_end::old_fence);
    BOOST_TEST(bed.subject.state().superseded);
}

BOOST_AUTO_TEST_CASE(a_new_sidecar_orders_nothing_before_it_knows_what_the_engine_holds)
{
    dispatcher_bed bed;
    bed.subject.tick();
    auto load = dispatcher_bed::engineLoad();
    load.adapters = {{"farm/a", "v1"}, {"farm/b", "v1"}};
    bed.driver.answerPoll(load);
    (void)bed.submit(dispatcher_bed::completion("r1", "a"));
    BOOST_TEST(bed.driver.orders.empty());
    BOOST_TEST(bed.driver.calls.size() == 1U);
    (void)bed.submit(dispatcher_bed::completion("r2", "c"));
    BOOST_REQUIRE(bed.driver.orders.size() == 1U);
    BOOST_TEST(!bed.driver.orders[0].isLoad);
    BOOST_TEST(bed.driver.orders[0].adapter.toString() == "farm/b@v1");
}

BOOST_AUTO_TEST_CASE(what_happened_to_a_request_can_be_read_afterwards)
{
    dispatcher_bed bed;
    (void)bed.startOne(dispatcher_bed::completion("r1", "a"));
    bed.driver.end(0, call_end::complete);
    const auto known = bed.journal.explain("r1");
    BOOST_REQUIRE(known.has_value());
    for (const char *event : {"accepted", "started", "ran"}) {
        BOOST_TEST(known->find(event) != std::string::npos);
    }
    for (int i = 0; i < 200; ++i) {
        bed.journal.note("other-" + std::to_string(i), "accepted", "");
    }
    BOOST_TEST(!bed.journal.explain("r1").has_value());
}
