#include "fakes.hpp"

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace medlarrack::sidecar::tests;
using core::outcome;
using engine::call_end;
using engine::order_end;

BOOST_AUTO_TEST_CASE(requests_running_at_a_crash_are_reported_as_crashed_and_queued_ones_run_afterwards)
{
    dispatcher_fixture fixture;
    const auto ran = fixture.startRequest(dispatcher_fixture::completion("r1", "a"));
    const auto once = fixture.submit(dispatcher_fixture::nonIdempotent(dispatcher_fixture::completion("r2", "a")));
    const auto queued = fixture.submit(dispatcher_fixture::completion("r3", "b"));
    fixture.clock.advance(100ms);
    fixture.driver.end(0, call_end::broken, "broken_answer");
    fixture.driver.end(1, call_end::broken, "broken_answer");
    // No refusal is sent before it is known whether the engine crashed.
    BOOST_TEST(!ran->refusal().has_value());
    const auto restarted = static_cast<std::uint64_t>(fixture.clock.wallNow().time_since_epoch().count());
    fixture.driver.answerPoll(dispatcher_fixture::engineLoad(restarted));
    for (const auto &reply : {ran, once}) {
        BOOST_REQUIRE(reply->refusal().has_value());
        BOOST_TEST((reply->refusal()->outcome == outcome::unknown));
        BOOST_TEST(reply->refusal()->targetCrashed);
    }
    BOOST_TEST(ran->refusal()->tryElsewhere);
    BOOST_TEST(!once->refusal()->tryElsewhere);
    // The engine's restart discarded the load of b, so it is ordered again.
    BOOST_TEST(!queued->refusal().has_value());
    const auto &last = fixture.driver.orders.back();
    BOOST_TEST(last.isLoad);
    BOOST_TEST(last.adapter.toString() == "farm/b@v1");
    // The result of the order sent before the crash is ignored.
    fixture.driver.answerOrder(1, order_end::done);
    BOOST_TEST(fixture.driver.calls.size() == 2U);
    last.callback(order_end::done);
    BOOST_TEST(fixture.driver.calls.size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_broken_connection_alone_is_no_crash)
{
    dispatcher_fixture fixture;
    const auto reply = fixture.startRequest(dispatcher_fixture::completion("r1", "a"));
    fixture.clock.advance(100ms);
    fixture.driver.end(0, call_end::broken, "broken_answer");
    fixture.driver.answerPoll(dispatcher_fixture::engineLoad());
    BOOST_REQUIRE(reply->refusal().has_value());
    BOOST_TEST(!reply->refusal()->targetCrashed);
}

BOOST_AUTO_TEST_CASE(a_poll_begun_before_the_break_does_not_rule_out_a_crash)
{
    dispatcher_fixture fixture;
    const auto reply = fixture.startRequest(dispatcher_fixture::completion("r1", "a"));
    fixture.advanceTime(500ms);
    BOOST_REQUIRE(fixture.driver.polls.size() == 1U);
    fixture.clock.advance(10ms);
    fixture.driver.end(0, call_end::broken, "broken_answer");
    fixture.driver.answerPoll(dispatcher_fixture::engineLoad());
    BOOST_TEST(!reply->refusal().has_value());
    fixture.subject.tick();
    const auto restarted = static_cast<std::uint64_t>(fixture.clock.wallNow().time_since_epoch().count());
    fixture.driver.answerPoll(dispatcher_fixture::engineLoad(restarted));
    BOOST_TEST(reply->refusal()->targetCrashed);
}

BOOST_AUTO_TEST_CASE(an_engine_that_does_not_come_back_counts_as_crashed)
{
    dispatcher_fixture fixture;
    const auto reply = fixture.startRequest(dispatcher_fixture::completion("r1", "a"));
    const auto queued = fixture.submit(dispatcher_fixture::completion("r2", "b"));
    fixture.driver.end(0, call_end::broken, "broken_answer");
    for (int i = 0; i < 25; ++i) {
        while (!fixture.driver.polls.empty()) {
            fixture.driver.answerPoll(std::nullopt);
        }
        fixture.advanceTime(50ms);
    }
    BOOST_REQUIRE(reply->refusal().has_value());
    BOOST_TEST(reply->refusal()->targetCrashed);
    BOOST_TEST(queued->refusal()->code == "target_unreachable");
    BOOST_TEST((queued->refusal()->outcome == outcome::not_run));
    BOOST_TEST(!fixture.subject.ready());
}

BOOST_AUTO_TEST_CASE(a_restart_cancels_calls_on_connections_that_stay_open)
{
    dispatcher_fixture fixture;
    const auto reply = fixture.startRequest(dispatcher_fixture::completion("r1", "a"));
    fixture.advanceTime(500ms);
    const auto restarted = static_cast<std::uint64_t>(fixture.clock.wallNow().time_since_epoch().count());
    fixture.driver.answerPoll(dispatcher_fixture::engineLoad(restarted));
    BOOST_REQUIRE(fixture.driver.cancelled.size() == 1U);
    fixture.driver.end(0, call_end::cancelled, "cancelled");
    BOOST_TEST(reply->refusal()->targetCrashed);
    BOOST_TEST(reply->refusal()->code == "target_crashed");
}

BOOST_AUTO_TEST_CASE(after_a_pause_nothing_from_before_it_is_started_or_ordered)
{
    dispatcher_fixture fixture;
    fixture.connectTarget();
    const auto queued = fixture.submit(dispatcher_fixture::completion("r1", "a"));
    BOOST_REQUIRE(fixture.driver.orders.size() == 1U);
    fixture.clock.advance(10min);
    // The first event after the pause is the result of an order sent before it.
    fixture.driver.answerOrder(0, order_end::done);
    BOOST_TEST(fixture.driver.calls.empty());
    BOOST_REQUIRE(queued->refusal().has_value());
    BOOST_TEST((queued->refusal()->outcome == outcome::not_run));
    // Requests right after the pause are refused, as they may have waited in a socket since before it.
    const auto stale = fixture.submit(dispatcher_fixture::completion("r2", "a"));
    BOOST_TEST(stale->refusal()->code == "paused");
    BOOST_TEST(stale->refusal()->tryElsewhere);
    fixture.advanceTime(500ms);
    const auto fresh = fixture.submit(dispatcher_fixture::completion("r3", "a"));
    BOOST_TEST(!fresh->refusal().has_value());
    BOOST_TEST(fixture.driver.calls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_pause_seen_only_by_the_wall_clock_is_detected)
{
    dispatcher_fixture fixture;
    fixture.connectTarget();
    const auto queued = fixture.submit(dispatcher_fixture::completion("r1", "a"));
    fixture.clock.skewWall(10min);
    fixture.subject.tick();
    BOOST_TEST(queued->refusal()->code == "paused");
}

BOOST_AUTO_TEST_CASE(a_running_request_survives_a_pause)
{
    dispatcher_fixture fixture;
    const auto reply = fixture.startRequest(dispatcher_fixture::completion("r1", "a"));
    fixture.clock.advance(10min);
    fixture.driver.calls[0].callbacks.onHead(200, {});
    fixture.driver.calls[0].callbacks.onData("x");
    fixture.driver.end(0, call_end::complete);
    BOOST_TEST(reply->all<peer::run_end>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_sidecar_whose_order_is_refused_as_old_gives_no_more)
{
    dispatcher_fixture fixture;
    fixture.connectTarget();
    const auto first = fixture.submit(dispatcher_fixture::completion("r1", "a"));
    fixture.driver.answerOrder(0, order_end::old_fence);
    BOOST_TEST(first->refusal()->code == "superseded");
    BOOST_TEST((first->refusal()->outcome == outcome::not_run));
    BOOST_TEST(fixture.submit(dispatcher_fixture::completion("r2", "b"))->refusal()->code == "superseded");
    fixture.advanceTime(30s);
    BOOST_TEST(fixture.driver.orders.size() == 1U);
    BOOST_TEST(!fixture.subject.ready());
    BOOST_TEST(fixture.subject.state().superseded);
}

BOOST_AUTO_TEST_CASE(an_order_overtaken_by_a_later_one_of_the_same_sidecar_is_sent_again)
{
    dispatcher_fixture fixture;
    fixture.connectTarget();
    const auto first = fixture.submit(dispatcher_fixture::completion("r1", "a"));
    const auto second = fixture.submit(dispatcher_fixture::completion("r2", "b"));
    BOOST_REQUIRE(fixture.driver.orders.size() == 2U);
    fixture.driver.answerOrder(1, order_end::done);
    fixture.driver.answerOrder(0, order_end::old_fence);
    BOOST_TEST(!fixture.subject.state().superseded);
    BOOST_REQUIRE(fixture.driver.orders.size() == 3U);
    BOOST_TEST(fixture.driver.orders[2].adapter.toString() == "farm/a@v1");
    BOOST_TEST(fixture.driver.orders[2].fence > fixture.driver.orders[1].fence);
    // A refusal of the latest order proves that another process took over.
    fixture.driver.answerOrder(2, order_end::old_fence);
    BOOST_TEST(fixture.subject.state().superseded);
}

BOOST_AUTO_TEST_CASE(a_new_sidecar_sends_no_orders_before_it_knows_the_loaded_adapters)
{
    dispatcher_fixture fixture;
    fixture.subject.tick();
    auto load = dispatcher_fixture::engineLoad();
    load.adapters = {{"farm/a", "v1"}, {"farm/b", "v1"}};
    fixture.driver.answerPoll(load);
    (void)fixture.submit(dispatcher_fixture::completion("r1", "a"));
    BOOST_TEST(fixture.driver.orders.empty());
    BOOST_TEST(fixture.driver.calls.size() == 1U);
    (void)fixture.submit(dispatcher_fixture::completion("r2", "c"));
    BOOST_REQUIRE(fixture.driver.orders.size() == 1U);
    BOOST_TEST(!fixture.driver.orders[0].isLoad);
    BOOST_TEST(fixture.driver.orders[0].adapter.toString() == "farm/b@v1");
}

BOOST_AUTO_TEST_CASE(the_journal_keeps_the_events_of_recent_requests)
{
    dispatcher_fixture fixture;
    (void)fixture.startRequest(dispatcher_fixture::completion("r1", "a"));
    fixture.driver.end(0, call_end::complete);
    const auto known = fixture.journal.explain("r1");
    BOOST_REQUIRE(known.has_value());
    for (const char *event : {"accepted", "started", "ran"}) {
        BOOST_TEST(known->find(event) != std::string::npos);
    }
    for (int i = 0; i < 200; ++i) {
        fixture.journal.addEvent("other-" + std::to_string(i), "accepted", "");
    }
    BOOST_TEST(!fixture.journal.explain("r1").has_value());
}
