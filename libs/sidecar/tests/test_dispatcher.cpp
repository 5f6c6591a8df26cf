#include "fakes.hpp"

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace medlarrack::sidecar::tests;
using core::outcome;
using engine::call_end;
using engine::order_end;

BOOST_AUTO_TEST_CASE(a_request_waits_for_its_adapter_and_is_answered_completely)
{
    dispatcher_fixture fixture;
    fixture.connectTarget();
    const auto reply = fixture.submit(dispatcher_fixture::completion("r1", "a"));
    BOOST_REQUIRE(fixture.driver.orders.size() == 1U);
    BOOST_TEST(fixture.driver.calls.empty());
    BOOST_TEST(reply->all<peer::run_accepted>().size() == 1U);
    fixture.clock.advance(250ms);
    fixture.driver.answerOrder(0, order_end::done);
    BOOST_REQUIRE(fixture.driver.calls.size() == 1U);
    BOOST_TEST(fixture.driver.calls[0].call.model == "farm/a@v1");
    const auto &target = fixture.driver.calls[0].callbacks;
    target.onHead(200, {{"Content-Type", "text/event-stream"}});
    target.onData("one");
    target.onData("two");
    fixture.driver.end(0, call_end::complete);
    BOOST_TEST(reply->body() == "onetwo");
    BOOST_REQUIRE(reply->all<peer::run_head>().size() == 1U);
    BOOST_TEST((reply->all<peer::run_head>()[0].loadStall == 250ms));
    BOOST_TEST(reply->all<peer::run_chunk>()[1].offset == 3U);
    BOOST_REQUIRE(reply->all<peer::run_end>().size() == 1U);
    BOOST_TEST(reply->all<peer::run_end>()[0].totalBytes == 6U);
    BOOST_TEST(reply->ended);
    BOOST_TEST(fixture.subject.idle());
}

BOOST_AUTO_TEST_CASE(every_message_carries_the_attempt)
{
    dispatcher_fixture fixture;
    const auto reply = fixture.startRequest(dispatcher_fixture::completion("r1", "a"));
    fixture.driver.calls[0].callbacks.onHead(200, {});
    fixture.driver.calls[0].callbacks.onData("x");
    fixture.driver.end(0, call_end::complete);
    for (const peer::message &message : reply->sent) {
        std::visit(
            [](const auto &value) {
                if constexpr (requires { value.attempt; }) {
                    BOOST_TEST(value.attempt == 3U);
                }
            },
            message);
    }
    BOOST_TEST(reply->sent.size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_repeats_no_byte_that_the_entry_has)
{
    dispatcher_fixture fixture;
    auto request = dispatcher_fixture::completion("r1", "a");
    request.resumeFrom = 4;
    const auto reply = fixture.startRequest(request);
    fixture.driver.calls[0].callbacks.onHead(200, {});
    fixture.driver.calls[0].callbacks.onData("abc");
    fixture.driver.calls[0].callbacks.onData("def");
    fixture.driver.end(0, call_end::complete);
    BOOST_TEST(reply->body() == "ef");
    BOOST_TEST(reply->all<peer::run_chunk>()[0].offset == 4U);
    BOOST_TEST(reply->all<peer::run_end>()[0].totalBytes == 6U);
}

namespace {

/// Expected refusal of a started request that ends without an answer.
struct failed_run_case
{
    call_end end;
    bool idempotent;
    outcome expected;
    bool tryElsewhere;
};

std::ostream &operator<<(std::ostream &to, const failed_run_case &value)
{
    return to << static_cast<int>(value.end) << (value.idempotent ? " idempotent" : " once");
}

} // namespace

BOOST_AUTO_TEST_CASE(not_run_is_reported_only_with_proof)
{
    const std::vector<failed_run_case> cases = {
        {call_end::not_sent, true, outcome::not_run, true},  {call_end::not_sent, false, outcome::not_run, false},
        {call_end::declined, true, outcome::not_run, true},  {call_end::declined, false, outcome::not_run, false},
        {call_end::broken, true, outcome::unknown, true},    {call_end::broken, false, outcome::unknown, false},
        {call_end::cancelled, true, outcome::unknown, true}, {call_end::cancelled, false, outcome::unknown, false},
    };
    for (const failed_run_case &one : cases) {
        BOOST_TEST_CONTEXT(one)
        {
            dispatcher_fixture fixture;
            auto request = dispatcher_fixture::completion("r1", "a");
            if (!one.idempotent) {
                request = dispatcher_fixture::nonIdempotent(request);
            }
            const auto reply = fixture.startRequest(request);
            fixture.driver.end(0, one.end, "timeout");
            const auto refused = reply->refusal();
            BOOST_REQUIRE(refused.has_value());
            BOOST_TEST((refused->outcome == one.expected));
            BOOST_TEST(refused->tryElsewhere == one.tryElsewhere);
            BOOST_TEST(!refused->targetCrashed);
            BOOST_TEST(reply->all<peer::run_end>().empty());
            BOOST_TEST(fixture.subject.idle());
        }
    }
}

BOOST_AUTO_TEST_CASE(requests_that_the_target_cannot_accept_are_refused_as_not_run)
{
    dispatcher_fixture fixture;
    BOOST_TEST(fixture.submit(dispatcher_fixture::completion("r0", "a"))->refusal()->code == "target_unreachable");
    fixture.connectTarget();
    BOOST_TEST(fixture.submit(dispatcher_fixture::serviceCall("r1", true))->refusal()->code == "wrong_target");
    auto large = dispatcher_fixture::completion("r2", "a");
    large.body = std::string(1001, 'x');
    const auto tooLarge = fixture.submit(large)->refusal();
    BOOST_TEST(tooLarge->code == "body_too_large");
    BOOST_TEST(!tooLarge->tryElsewhere);
    auto late = dispatcher_fixture::completion("r3", "a");
    late.deadlineLeft = 0ms;
    BOOST_TEST(fixture.submit(late)->refusal()->code == "deadline_exceeded");
    const auto first = fixture.submit(dispatcher_fixture::completion("r4", "a"));
    const auto second = fixture.submit(dispatcher_fixture::completion("r4", "a"));
    BOOST_TEST(second->refusal()->code == "duplicate_attempt");
    BOOST_TEST((second->refusal()->outcome == outcome::not_run));
    BOOST_TEST(second->refusal()->newestTicket == 7U);
    BOOST_TEST(!first->refusal().has_value());
}

BOOST_AUTO_TEST_CASE(a_queued_request_past_its_deadline_is_refused)
{
    dispatcher_fixture fixture;
    fixture.connectTarget();
    auto request = dispatcher_fixture::completion("r1", "a");
    request.deadlineLeft = 300ms;
    const auto reply = fixture.submit(request);
    fixture.advanceTime(300ms);
    BOOST_REQUIRE(reply->refusal().has_value());
    BOOST_TEST(reply->refusal()->code == "deadline_exceeded");
    BOOST_TEST((reply->refusal()->outcome == outcome::not_run));
    fixture.driver.answerOrder(0, order_end::done);
    BOOST_TEST(fixture.driver.calls.empty());
}

BOOST_AUTO_TEST_CASE(a_failed_load_refuses_the_requests_that_wait_for_it)
{
    dispatcher_fixture fixture;
    fixture.connectTarget();
    const auto first = fixture.submit(dispatcher_fixture::completion("r1", "a"));
    const auto second = fixture.submit(dispatcher_fixture::completion("r2", "a"));
    const auto other = fixture.submit(dispatcher_fixture::completion("r3", "b"));
    fixture.driver.answerOrder(0, order_end::failed);
    for (const auto &reply : {first, second}) {
        BOOST_REQUIRE(reply->refusal().has_value());
        BOOST_TEST(reply->refusal()->code == "load_failed");
        BOOST_TEST((reply->refusal()->outcome == outcome::not_run));
        BOOST_TEST(reply->refusal()->tryElsewhere);
    }
    BOOST_TEST(!other->refusal().has_value());
    fixture.driver.answerOrder(1, order_end::done);
    BOOST_TEST(fixture.driver.calls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(requests_stay_queued_while_the_weight_store_is_busy)
{
    dispatcher_fixture fixture;
    fixture.connectTarget();
    const auto reply = fixture.submit(dispatcher_fixture::completion("r1", "a"));
    fixture.driver.answerOrder(0, order_end::store_busy);
    BOOST_TEST(!reply->refusal().has_value());
    fixture.advanceTime(200ms);
    BOOST_REQUIRE(fixture.driver.orders.size() == 2U);
    fixture.driver.answerOrder(1, order_end::done);
    BOOST_TEST(fixture.driver.calls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_adapter_in_use_is_not_unloaded_after_its_caller_has_disconnected)
{
    dispatcher_fixture fixture;
    const auto first = fixture.startRequest(dispatcher_fixture::completion("r1", "a"));
    (void)fixture.submit(dispatcher_fixture::completion("r2", "b"));
    fixture.driver.answerOrder(1, order_end::done);
    (void)fixture.submit(dispatcher_fixture::completion("r3", "c"));
    first->closed();
    BOOST_REQUIRE(fixture.driver.cancelled.size() == 1U);
    fixture.advanceTime(3s);
    BOOST_TEST(fixture.driver.orders.size() == 2U);
    fixture.driver.end(0, call_end::cancelled);
    BOOST_REQUIRE(fixture.driver.orders.size() == 3U);
    BOOST_TEST(!fixture.driver.orders[2].isLoad);
    BOOST_TEST(fixture.driver.orders[2].adapter.toString() == "farm/a@v1");
    BOOST_TEST(fixture.driver.orders[2].fence > fixture.driver.orders[1].fence);
}

BOOST_AUTO_TEST_CASE(a_queued_request_never_runs_after_its_caller_has_disconnected)
{
    dispatcher_fixture fixture;
    fixture.connectTarget();
    const auto reply = fixture.submit(dispatcher_fixture::completion("r1", "a"));
    reply->closed();
    fixture.driver.answerOrder(0, order_end::done);
    BOOST_TEST(fixture.driver.calls.empty());
    BOOST_TEST(fixture.subject.idle());
}

BOOST_AUTO_TEST_CASE(a_non_idempotent_request_is_not_cancelled_when_its_caller_disconnects)
{
    dispatcher_fixture fixture(false);
    const auto reply = fixture.startRequest(dispatcher_fixture::serviceCall("r1", false));
    BOOST_REQUIRE(fixture.driver.calls.size() == 1U);
    reply->closed();
    BOOST_TEST(fixture.driver.cancelled.empty());
    fixture.driver.calls[0].callbacks.onHead(200, {});
    fixture.driver.end(0, call_end::complete);
    BOOST_TEST(fixture.subject.idle());
}

BOOST_AUTO_TEST_CASE(the_stream_of_a_slow_reader_is_aborted)
{
    dispatcher_fixture fixture;
    const auto reply = fixture.startRequest(dispatcher_fixture::completion("r1", "a"));
    fixture.driver.calls[0].callbacks.onHead(200, {});
    reply->buffered = 1001;
    fixture.driver.calls[0].callbacks.onData("x");
    fixture.driver.calls[0].callbacks.onData("y");
    BOOST_TEST(fixture.driver.cancelled.size() == 1U);
    fixture.driver.end(0, call_end::cancelled, "cancelled");
    BOOST_TEST(reply->refusal()->code == "slow_reader");
    BOOST_TEST((reply->refusal()->outcome == outcome::unknown));
}

BOOST_AUTO_TEST_CASE(an_adapter_that_the_engine_does_not_have_is_loaded_again)
{
    dispatcher_fixture fixture;
    const auto reply = fixture.startRequest(dispatcher_fixture::completion("r1", "a"));
    fixture.driver.end(0, call_end::declined, "unknown_model");
    BOOST_TEST((reply->refusal()->outcome == outcome::not_run));
    (void)fixture.submit(dispatcher_fixture::completion("r2", "a"));
    BOOST_REQUIRE(fixture.driver.orders.size() == 2U);
    BOOST_TEST(fixture.driver.orders[1].isLoad);
}

BOOST_AUTO_TEST_CASE(a_drain_takes_no_new_work_and_cuts_off_none)
{
    dispatcher_fixture fixture;
    const auto running = fixture.startRequest(dispatcher_fixture::completion("r1", "a"));
    const auto queued = fixture.submit(dispatcher_fixture::completion("r2", "b"));
    fixture.subject.drain();
    BOOST_TEST(!fixture.subject.ready());
    const auto late = fixture.submit(dispatcher_fixture::completion("r3", "a"));
    BOOST_TEST(late->refusal()->code == "leaving");
    BOOST_TEST(late->refusal()->tryElsewhere);
    fixture.driver.answerOrder(1, order_end::done);
    BOOST_TEST(fixture.driver.calls.size() == 2U);
    fixture.advanceTime(10s);
    BOOST_TEST(!fixture.subject.idle());
    for (std::size_t i : {0U, 1U}) {
        fixture.driver.calls[i].callbacks.onHead(200, {});
        fixture.driver.end(i, call_end::complete);
    }
    BOOST_TEST(running->all<peer::run_end>().size() == 1U);
    BOOST_TEST(queued->all<peer::run_end>().size() == 1U);
    BOOST_TEST(fixture.subject.idle());
}

BOOST_AUTO_TEST_CASE(a_drain_refuses_requests_that_have_not_started_within_the_grace_period)
{
    dispatcher_fixture fixture;
    fixture.connectTarget();
    const auto queued = fixture.submit(dispatcher_fixture::completion("r1", "a"));
    fixture.subject.drain();
    fixture.advanceTime(2s);
    BOOST_TEST(queued->refusal()->code == "leaving");
    BOOST_TEST((queued->refusal()->outcome == outcome::not_run));
    fixture.driver.answerOrder(0, order_end::done);
    BOOST_TEST(fixture.driver.calls.empty());
}
