#include "fakes.hpp"

#include <medlarrack/core/uuid.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace medlarrack::sidecar::tests;
using core::outcome;
using engine::call_end;

namespace {

/// A plain service with a second replica, listed long enough to run keys that are not bound to an instance.
struct keyed_fixture : dispatcher_fixture
{
    keyed_fixture()
        : dispatcher_fixture(false)
    {
        connectTarget();
        listMembers({"sidecar-1", "sidecar-2"});
        advanceTime(20s);
        while (!driver.polls.empty()) {
            driver.answerPoll(engine::target_load{});
        }
        listMembers({"sidecar-1", "sidecar-2"});
        clock.advance(100ms);
        key = core::makeUuid7(clock.wallNow());
    }

    std::shared_ptr<fake_reply> send(const std::string &id)
    {
        auto request = serviceCall(id, false);
        request.idempotencyKey = key;
        return submit(request);
    }

    /// Passes the other replica's reply to the request for a seal to the dispatcher.
    void replySeal(peer::seal_state state, const std::string &from = "sidecar-2")
    {
        peer::seal_reply reply;
        reply.state = state;
        reply.by = {from, 1};
        reply.knowsSinceMs = startTime.time_since_epoch().count();
        reply.status = 200;
        reply.body = "recorded there";
        reply.bodyKept = true;
        subject.onSealReply("sidecar-2", idempotency::scopedKey("farm", key), reply);
    }

    /// Answers the first call completely.
    void answerRun(const std::string &body)
    {
        driver.calls[0].callbacks.onHead(200, {});
        driver.calls[0].callbacks.onData(body);
        driver.end(0, call_end::complete);
    }

    std::string key;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_key_runs_only_after_the_other_replicas_have_sealed_it)
{
    keyed_fixture fixture;
    const auto reply = fixture.send("r1");
    BOOST_REQUIRE(fixture.sealRequests.size() == 1U);
    BOOST_TEST(fixture.sealRequests[0].first == "sidecar-2");
    BOOST_TEST(fixture.driver.calls.empty());
    BOOST_TEST(reply->sent.empty());
    fixture.replySeal(peer::seal_state::sealed);
    BOOST_REQUIRE(fixture.driver.calls.size() == 1U);
    BOOST_TEST(!fixture.driver.calls[0].call.idempotent);
    BOOST_TEST(fixture.driver.calls[0].call.idempotencyKey == fixture.key);
    fixture.answerRun("done");
    BOOST_TEST(reply->body() == "done");
    BOOST_TEST(!reply->all<peer::run_head>()[0].replayed);
}

BOOST_AUTO_TEST_CASE(a_key_sent_twice_runs_once_and_both_get_its_answer)
{
    keyed_fixture fixture;
    const auto first = fixture.send("r1");
    const auto during = fixture.send("r2");
    fixture.replySeal(peer::seal_state::sealed);
    BOOST_REQUIRE(fixture.driver.calls.size() == 1U);
    fixture.answerRun("done");
    const auto after = fixture.send("r3");
    BOOST_TEST(fixture.driver.calls.size() == 1U);
    BOOST_TEST(first->body() == "done");
    for (const auto &reply : {during, after}) {
        BOOST_TEST(reply->body() == "done");
        BOOST_REQUIRE(reply->all<peer::run_head>().size() == 1U);
        BOOST_TEST(reply->all<peer::run_head>()[0].replayed);
        BOOST_TEST(reply->all<peer::run_end>().size() == 1U);
    }
    BOOST_TEST(fixture.subject.idle());
}

BOOST_AUTO_TEST_CASE(equal_keys_of_two_operators_are_two_keys)
{
    keyed_fixture fixture;
    const auto first = fixture.send("r1");
    auto other = dispatcher_fixture::serviceCall("r2", false);
    other.operatorName = "dairy";
    other.idempotencyKey = fixture.key;
    const auto second = fixture.submit(other);
    BOOST_REQUIRE(fixture.sealRequests.size() == 2U);
    BOOST_TEST(fixture.sealRequests[0].second != fixture.sealRequests[1].second);
    fixture.replySeal(peer::seal_state::sealed);
    fixture.answerRun("done");
    BOOST_TEST(first->body() == "done");
    BOOST_TEST(second->sent.empty());
}

BOOST_AUTO_TEST_CASE(a_key_that_ran_elsewhere_is_answered_from_there)
{
    keyed_fixture fixture;
    const auto reply = fixture.send("r1");
    fixture.replySeal(peer::seal_state::ran);
    BOOST_TEST(fixture.driver.calls.empty());
    BOOST_TEST(reply->body() == "recorded there");
    BOOST_TEST(fixture.subject.idle());
}

BOOST_AUTO_TEST_CASE(a_key_that_may_have_run_elsewhere_does_not_run_here)
{
    for (auto state : {peer::seal_state::taken, peer::seal_state::unknown}) {
        keyed_fixture fixture;
        const auto reply = fixture.send("r1");
        fixture.replySeal(state);
        BOOST_TEST(fixture.driver.calls.empty());
        BOOST_REQUIRE(reply->refusal().has_value());
        BOOST_TEST((reply->refusal()->outcome == outcome::unknown));
        BOOST_TEST(fixture.subject.idle());
    }
}

BOOST_AUTO_TEST_CASE(a_seal_by_another_process_at_the_replicas_address_does_not_count)
{
    keyed_fixture fixture;
    const auto reply = fixture.send("r1");
    fixture.replySeal(peer::seal_state::sealed, "sidecar-9");
    BOOST_TEST(fixture.driver.calls.empty());
    BOOST_TEST((reply->refusal()->outcome == outcome::unknown));
}

BOOST_AUTO_TEST_CASE(a_key_is_refused_when_a_replica_does_not_answer_in_time)
{
    keyed_fixture fixture;
    const auto reply = fixture.send("r1");
    fixture.advanceTime(1s);
    BOOST_TEST(fixture.driver.calls.empty());
    BOOST_REQUIRE(reply->refusal().has_value());
    BOOST_TEST((reply->refusal()->outcome == outcome::unknown));
    BOOST_TEST(fixture.subject.idle());
}

BOOST_AUTO_TEST_CASE(a_key_whose_run_broke_is_unknown_for_all_and_never_runs_again)
{
    keyed_fixture fixture;
    const auto first = fixture.send("r1");
    const auto second = fixture.send("r2");
    fixture.replySeal(peer::seal_state::sealed);
    fixture.driver.end(0, call_end::broken, "timeout");
    const auto third = fixture.send("r3");
    BOOST_TEST(fixture.driver.calls.size() == 1U);
    for (const auto &reply : {first, second, third}) {
        BOOST_REQUIRE(reply->refusal().has_value());
        BOOST_TEST((reply->refusal()->outcome == outcome::unknown));
        BOOST_TEST(!reply->refusal()->tryElsewhere);
    }
}

BOOST_AUTO_TEST_CASE(a_request_whose_caller_disconnects_before_the_seals_arrive_does_not_run)
{
    keyed_fixture fixture;
    const auto first = fixture.send("r1");
    first->closed();
    fixture.replySeal(peer::seal_state::sealed);
    BOOST_TEST(fixture.driver.calls.empty());
    BOOST_TEST(fixture.subject.idle());
    const auto again = fixture.send("r2");
    BOOST_TEST((again->refusal()->outcome == outcome::not_run));
}

BOOST_AUTO_TEST_CASE(a_waiter_past_its_deadline_is_not_told_that_its_key_did_not_run)
{
    keyed_fixture fixture;
    (void)fixture.send("r1");
    fixture.replySeal(peer::seal_state::sealed);
    auto lateRequest = dispatcher_fixture::serviceCall("r2", false);
    lateRequest.idempotencyKey = fixture.key;
    lateRequest.deadlineLeft = 300ms;
    const auto reply = fixture.submit(lateRequest);
    fixture.advanceTime(300ms);
    BOOST_REQUIRE(reply->refusal().has_value());
    BOOST_TEST((reply->refusal()->outcome == outcome::unknown));
}

BOOST_AUTO_TEST_CASE(a_pause_between_seal_and_run_runs_nothing)
{
    keyed_fixture fixture;
    const auto reply = fixture.send("r1");
    fixture.clock.advance(10min);
    fixture.replySeal(peer::seal_state::sealed);
    BOOST_TEST(fixture.driver.calls.empty());
    BOOST_REQUIRE(reply->refusal().has_value());
    BOOST_TEST(!reply->refusal()->tryElsewhere);
    BOOST_TEST(fixture.subject.idle());
}

BOOST_AUTO_TEST_CASE(a_non_idempotent_request_without_a_key_is_refused)
{
    keyed_fixture fixture;
    fixture.key.clear();
    const auto reply = fixture.send("r1");
    BOOST_TEST(reply->refusal()->code == "missing_idempotency_key");
    BOOST_TEST((reply->refusal()->outcome == outcome::not_run));
}

BOOST_AUTO_TEST_CASE(a_sealed_key_does_not_run_here_afterwards)
{
    keyed_fixture fixture;
    peer::seal_request request;
    request.service = "pivot";
    request.idempotencyKey = idempotency::scopedKey("farm", fixture.key);
    request.asker = {"sidecar-2", 1};
    const auto seal = fixture.subject.onSealRequest(request);
    BOOST_TEST((seal.state == peer::seal_state::sealed));
    BOOST_TEST(seal.by.id == "sidecar-1");
    const auto reply = fixture.send("r1");
    BOOST_TEST(fixture.driver.calls.empty());
    BOOST_TEST((reply->refusal()->outcome == outcome::unknown));
}
