#include "fakes.hpp"

#include <medlarrack/idempotency/request_key.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace medlarrack;
using namespace medlarrack::entry::test;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// Point at which an attempt fails.
enum class break_point {
    not_processed,
    before_accept,
    accept_timeout,
    after_accept,
    after_head,
    in_body,
    end_without_mark,
    gap_in_body,
    wrong_total,
    refused_retryable,
    refused_unknown,
    crashed,
};

constexpr std::array<break_point, 12> allBreakPoints = {
    break_point::not_processed,     break_point::before_accept,   break_point::accept_timeout,
    break_point::after_accept,      break_point::after_head,      break_point::in_body,
    break_point::end_without_mark,  break_point::gap_in_body,     break_point::wrong_total,
    break_point::refused_retryable, break_point::refused_unknown, break_point::crashed};

std::ostream &operator<<(std::ostream &out, break_point point)
{
    return out << "break point " << static_cast<int>(point);
}

peer::run_refused refusal(core::outcome outcome, bool elsewhere, bool crashed = false)
{
    peer::run_refused message;
    message.outcome = outcome;
    message.code = crashed ? "target_crashed" : "overloaded";
    message.tryElsewhere = elsewhere;
    message.targetCrashed = crashed;
    return message;
}

void receiveBodyStart(run_fixture &fixture)
{
    fixture.sendAccepted();
    fixture.sendHead();
    const std::uint64_t from = fixture.lastRun().resumeFrom;
    fixture.sendChunk(from, std::string("answer").substr(from, 2));
}

void breakAt(run_fixture &fixture, break_point point)
{
    switch (point) {
    case break_point::not_processed:
        fixture.endStream(peer::stream_end::not_processed);
        return;
    case break_point::before_accept:
        fixture.endStream(peer::stream_end::broken);
        return;
    case break_point::accept_timeout: {
        const auto &stream = fixture.link.streams.back();
        while (!stream.cancelled) {
            fixture.steps.advance(1ms);
        }
        return;
    }
    case break_point::after_accept:
        fixture.sendAccepted();
        fixture.endStream(peer::stream_end::broken);
        return;
    case break_point::after_head:
        fixture.sendAccepted();
        fixture.sendHead();
        fixture.endStream(peer::stream_end::broken);
        return;
    case break_point::in_body:
        receiveBodyStart(fixture);
        fixture.endStream(peer::stream_end::broken);
        return;
    case break_point::end_without_mark:
        receiveBodyStart(fixture);
        fixture.endStream(peer::stream_end::finished);
        return;
    case break_point::gap_in_body:
        receiveBodyStart(fixture);
        fixture.sendChunk(5, "r");
        return;
    case break_point::wrong_total:
        receiveBodyStart(fixture);
        fixture.deliver(peer::run_end{0, 7});
        return;
    case break_point::refused_retryable:
        fixture.deliver(refusal(core::outcome::not_run, true));
        return;
    case break_point::refused_unknown:
        fixture.sendAccepted();
        fixture.deliver(refusal(core::outcome::unknown, false));
        return;
    case break_point::crashed:
        fixture.sendAccepted();
        fixture.deliver(refusal(core::outcome::unknown, false, true));
        return;
    }
}

/// The outcome that is certain when every attempt fails at that point.
core::outcome provenOutcomeOf(break_point point)
{
    switch (point) {
    case break_point::not_processed:
    case break_point::refused_retryable:
        return core::outcome::not_run;
    case break_point::before_accept:
    case break_point::accept_timeout:
    case break_point::after_accept:
    case break_point::refused_unknown:
    case break_point::crashed:
        return core::outcome::unknown;
    default:
        return core::outcome::ran;
    }
}

bool endsRequest(break_point point, bool idempotent)
{
    return point == break_point::refused_unknown || (point == break_point::crashed && !idempotent);
}

std::string errorField(const run_fixture &fixture, const char *name)
{
    const auto start = fixture.response->body.find("{\"error\"");
    BOOST_TEST_REQUIRE(start != std::string::npos);
    return nlohmann::json::parse(fixture.response->body.substr(start))["error"][name];
}

} // namespace

BOOST_AUTO_TEST_CASE(a_response_arrives_complete_with_the_headers_that_identify_the_run)
{
    run_fixture fixture;
    fixture.start(run_fixture::completion());
    BOOST_TEST(fixture.lastRun().adapter.toString() == "slavonska/nozzle-7@v3");
    BOOST_TEST(fixture.lastRun().idempotent);
    fixture.sendResponse();
    BOOST_TEST(fixture.response->status == 200);
    BOOST_TEST(fixture.response->body == "answer");
    BOOST_TEST(fixture.response->header("X-Adapter") == "slavonska/nozzle-7@v3");
    BOOST_TEST(fixture.response->header("X-Request-Id") == "r-1");
    BOOST_TEST(fixture.response->header("X-Instance") == "by");
    BOOST_TEST(fixture.response->header("Connection").empty());
    BOOST_TEST(fixture.admitted.inFlight() == 0U);
    BOOST_TEST(fixture.trace.requestJson("r-1").has_value());
}

BOOST_DATA_TEST_CASE(an_idempotent_request_is_answered_whole_after_a_break_anywhere,
                     data::make(allBreakPoints) * data::make({false, true}), point, stream)
{
    run_fixture fixture;
    fixture.start(run_fixture::completion(stream));
    breakAt(fixture, point);
    fixture.steps.advance(20ms);
    if (endsRequest(point, true)) {
        BOOST_TEST(errorField(fixture, "outcome") == "unknown");
        return;
    }
    BOOST_TEST_REQUIRE(fixture.link.streams.size() == 2U);
    BOOST_TEST(fixture.lastRun().attempt == 2U);
    BOOST_TEST((fixture.link.streams[0].to != fixture.link.streams[1].to));
    fixture.sendResponse();
    BOOST_TEST(fixture.response->body == "answer");
    BOOST_TEST(fixture.response->ended);
}

BOOST_DATA_TEST_CASE(a_keyed_request_is_retried_only_where_that_is_safe, data::make(allBreakPoints), point)
{
    run_fixture fixture;
    fixture.start(run_fixture::pivotStart());
    breakAt(fixture, point);
    fixture.steps.advance(20ms);
    if (endsRequest(point, false)) {
        BOOST_TEST(fixture.link.streams.size() == 1U);
        BOOST_TEST(errorField(fixture, "outcome") == "unknown");
        return;
    }
    BOOST_TEST_REQUIRE(fixture.link.streams.size() == 2U);
    BOOST_TEST(fixture.lastRun().idempotencyKey == fixture.link.streams[0].run().idempotencyKey);
    // The retry goes to the same target if that may have run the request, and to another if it is proven not to have.
    const bool sameTarget = fixture.link.streams[0].to == fixture.link.streams[1].to;
    const bool proven = point == break_point::not_processed || point == break_point::refused_retryable;
    BOOST_TEST(sameTarget == !proven);
    fixture.sendResponse();
    BOOST_TEST(fixture.response->body == "answer");
    BOOST_TEST(fixture.response->header("Idempotency-Key") == fixture.lastRun().idempotencyKey);
}

BOOST_AUTO_TEST_CASE(a_call_without_a_key_gets_one_bound_to_the_chosen_replica)
{
    run_fixture fixture;
    for (const std::string id : {"pivot-1", "pivot-2", "pivot-3"}) {
        fixture.targets.applyReport(id, peer::load_report{{id, 40}, 1});
    }
    auto request = run_fixture::pivotStart();
    request.idempotencyKey.clear();
    request.keyHash = 0;
    fixture.start(std::move(request));
    const auto key = idempotency::parseKey(fixture.lastRun().idempotencyKey);
    BOOST_TEST_REQUIRE((key && key->boundInstance));
    BOOST_TEST(key->boundInstance->incarnation == 40U);
    BOOST_TEST(key->boundInstance->id == "pivot-" + std::to_string(fixture.link.streams[0].to.port - 200));
}

BOOST_DATA_TEST_CASE(a_bound_key_is_sent_to_the_instance_that_it_names, data::make({1, 2, 3}), number)
{
    run_fixture fixture;
    auto request = run_fixture::pivotStart();
    request.idempotencyKey = idempotency::makeBoundKey(fixture.clock.wallNow(), {"pivot-" + std::to_string(number), 7});
    fixture.start(std::move(request));
    BOOST_TEST(fixture.link.streams[0].to.port == 200 + number);
}

BOOST_DATA_TEST_CASE(the_final_answer_claims_only_what_is_proven,
                     data::make(allBreakPoints) * data::make({false, true}) * data::make({false, true}), point, keyed,
                     stream)
{
    run_fixture fixture;
    entry::call request = keyed ? run_fixture::pivotStart() : run_fixture::completion();
    request.stream = stream;
    fixture.start(request);
    const std::size_t attempts = fixture.settings.retries.maxAttempts;
    for (std::size_t count = 0; count < attempts && fixture.link.streams.size() > count; ++count) {
        breakAt(fixture, point);
        fixture.steps.advance(800ms);
    }
    BOOST_TEST(fixture.link.streams.size() <= attempts);
    BOOST_TEST(errorField(fixture, "outcome") == std::string(core::toString(provenOutcomeOf(point))));
    BOOST_TEST(fixture.admitted.inFlight() == 0U);
    // A streamed response that has started is aborted on an error, so that it never appears complete.
    BOOST_TEST(fixture.response->aborted == fixture.response->streamed);
}

BOOST_AUTO_TEST_CASE(a_broken_attempt_stays_in_doubt_when_later_ones_are_refused)
{
    run_fixture fixture;
    fixture.start(run_fixture::pivotStart());
    fixture.endStream(peer::stream_end::broken);
    fixture.steps.advance(20ms);
    fixture.deliver(refusal(core::outcome::not_run, false));
    BOOST_TEST(errorField(fixture, "outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(a_refusal_that_no_other_target_can_serve_is_forwarded_at_once)
{
    run_fixture fixture;
    fixture.start(run_fixture::completion());
    auto message = refusal(core::outcome::not_run, false);
    message.retryAfter = 1'500ms;
    fixture.deliver(message);
    BOOST_TEST(fixture.response->status == 503);
    BOOST_TEST(fixture.response->header("Retry-After") == "2");
    BOOST_TEST(errorField(fixture, "code") == "overloaded");
    BOOST_TEST(errorField(fixture, "outcome") == "not_run");
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_neither_repeats_nor_skips)
{
    run_fixture fixture;
    fixture.start(run_fixture::completion(true));
    fixture.sendAccepted();
    fixture.sendHead();
    fixture.sendChunk(0, "ans");
    fixture.endStream(peer::stream_end::broken);
    fixture.steps.advance(1ms);
    BOOST_TEST(fixture.lastRun().resumeFrom == 3U);
    fixture.sendAccepted();
    fixture.sendHead();
    // The sidecar resumes at an earlier offset than requested.
    fixture.sendChunk(2, "sw");
    fixture.sendChunk(4, "er");
    fixture.sendEnd(6);
    BOOST_TEST(fixture.response->body == "answer");
    BOOST_TEST(fixture.response->ended);
}

BOOST_AUTO_TEST_CASE(a_stream_resumed_with_another_status_is_broken)
{
    run_fixture fixture;
    fixture.settings.retries.maxAttempts = 2;
    fixture.start(run_fixture::completion(true));
    receiveBodyStart(fixture);
    fixture.endStream(peer::stream_end::broken);
    fixture.steps.advance(1ms);
    fixture.sendAccepted();
    fixture.sendHead(500);
    BOOST_TEST(fixture.response->aborted);
    BOOST_TEST(!fixture.response->ended);
}

BOOST_AUTO_TEST_CASE(late_and_crossed_messages_are_dropped)
{
    run_fixture fixture;
    fixture.start(run_fixture::completion());
    fixture.steps.advance(2'001ms);
    BOOST_TEST_REQUIRE(fixture.link.streams.size() == 2U);
    BOOST_TEST(fixture.link.streams[0].cancelled);
    // Late messages of the first attempt, which has timed out.
    fixture.deliver(peer::run_head{}, 1);
    fixture.deliver(peer::run_chunk{0, 0, "wrong "}, 1);
    fixture.deliver(peer::run_end{0, 6}, 1);
    fixture.endStream(peer::stream_end::finished, 1);
    // A message on the second stream with the number of the first attempt.
    fixture.deliver(peer::run_chunk{1, 0, "wrong "}, 2);
    fixture.sendResponse();
    BOOST_TEST(fixture.response->body == "answer");
    BOOST_TEST(fixture.registry.text().find("medlarrack_entry_dropped_messages_total 4") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_caller_gets_the_final_response_at_the_deadline)
{
    run_fixture waiting;
    waiting.view.apply({waiting.clock.wallNow() + 1ms, {}}, waiting.clock.now());
    waiting.start(run_fixture::completion(), 500ms);
    waiting.steps.advance(501ms);
    BOOST_TEST(waiting.response->status == 504);
    BOOST_TEST(errorField(waiting, "outcome") == "not_run");

    run_fixture running;
    running.start(run_fixture::pivotStart(), 500ms);
    running.sendAccepted();
    running.steps.advance(501ms);
    BOOST_TEST(running.response->status == 504);
    BOOST_TEST(errorField(running, "outcome") == "unknown");
    BOOST_TEST(running.link.streams[0].cancelled);
}

BOOST_AUTO_TEST_CASE(a_response_that_has_started_is_completed_after_the_deadline)
{
    run_fixture late;
    late.start(run_fixture::completion(true), 500ms);
    receiveBodyStart(late);
    late.steps.advance(501ms);
    BOOST_TEST(!late.response->aborted);
    BOOST_TEST(!late.link.streams[0].cancelled);

    // A response that never ends is aborted after the maximum deadline, visibly for the caller.
    late.steps.advance(late.settings.requests.maxDeadline);
    BOOST_TEST(late.response->aborted);
    BOOST_TEST(errorField(late, "outcome") == "ran");
}

BOOST_AUTO_TEST_CASE(a_sidecar_gets_an_earlier_deadline_so_that_its_refusal_arrives_in_time)
{
    run_fixture fixture;
    fixture.start(run_fixture::completion(), 500ms);
    BOOST_TEST((fixture.lastRun().deadlineLeft == 475ms));
    fixture.start(run_fixture::completion(), 40ms);
    BOOST_TEST((fixture.lastRun().deadlineLeft == 36ms));
}

BOOST_AUTO_TEST_CASE(a_keyed_request_is_retried_at_the_holder_of_its_key)
{
    run_fixture fixture;
    fixture.start(run_fixture::pivotStart());
    const std::uint16_t first = fixture.link.streams[0].to.port;
    const std::uint16_t holder = first == 203 ? 201 : 203;
    auto message = refusal(core::outcome::unknown, false);
    message.code = "held_by_other_replica";
    message.holderId = holder == 203 ? "pivot-3" : "pivot-1";
    fixture.deliver(message);
    fixture.steps.advance(1ms);
    BOOST_TEST_REQUIRE(fixture.link.streams.size() == 2U);
    BOOST_TEST(fixture.link.streams[1].to.port == holder);
    // A holder that refers to itself doesn't cause another retry.
    fixture.deliver(message);
    fixture.steps.advance(1ms);
    BOOST_TEST(fixture.link.streams.size() == 2U);
    BOOST_TEST(errorField(fixture, "outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(a_leaving_target_gets_no_requests_until_a_later_incarnation_serves)
{
    run_fixture fixture;
    const auto report = [&](std::uint64_t incarnation, bool leaving) {
        peer::load_report message;
        message.sender = {"pivot-1", incarnation};
        message.sequence = 1;
        message.leaving = leaving;
        fixture.targets.applyReport("pivot-1", message);
    };
    const std::vector<routing::target_index> others = {1, 2};
    routing::routing_request onlyFirst;
    onlyFirst.excluded = others;
    BOOST_TEST(fixture.targets.choose("pivot", onlyFirst)->id == "pivot-1");
    report(5, true);
    BOOST_TEST(!fixture.targets.choose("pivot", onlyFirst));
    report(5, false);
    BOOST_TEST(!fixture.targets.choose("pivot", onlyFirst));
    report(6, false);
    BOOST_TEST(fixture.targets.choose("pivot", onlyFirst)->id == "pivot-1");
}

BOOST_AUTO_TEST_CASE(a_request_without_a_target_is_refused_after_the_target_wait)
{
    run_fixture fixture;
    fixture.view.apply({fixture.clock.wallNow() + 1ms, {}}, fixture.clock.now());
    fixture.start(run_fixture::completion());
    fixture.steps.advance(1'900ms);
    BOOST_TEST(fixture.response->status == 0);
    fixture.steps.advance(300ms);
    BOOST_TEST(fixture.response->status == 503);
    BOOST_TEST(errorField(fixture, "code") == "no_target");
    BOOST_TEST(errorField(fixture, "outcome") == "not_run");
}

BOOST_AUTO_TEST_CASE(a_poison_request_crashes_two_targets_and_is_refused_then)
{
    run_fixture fixture;
    fixture.start(run_fixture::completion());
    for (int count = 0; count < 2; ++count) {
        fixture.sendAccepted();
        fixture.deliver(refusal(core::outcome::unknown, false, true));
        fixture.steps.advance(50ms);
    }
    BOOST_TEST(fixture.link.streams.size() == 2U);
    BOOST_TEST(fixture.link.streams[1].run().crashes == 1U);
    BOOST_TEST(errorField(fixture, "code") == "suspected_crash");
    BOOST_TEST(errorField(fixture, "outcome") == "unknown");

    // The caller retries the request.
    entry::call repeated = run_fixture::completion();
    repeated.requestId = "r-again";
    fixture.start(repeated);
    BOOST_TEST(fixture.link.streams.size() == 2U);
    BOOST_TEST(fixture.response->status == 422);
    BOOST_TEST(errorField(fixture, "outcome") == "not_run");
}

BOOST_AUTO_TEST_CASE(an_innocent_that_ran_beside_a_crash_is_answered_and_cleared)
{
    run_fixture fixture;
    fixture.start(run_fixture::completion());
    fixture.sendAccepted();
    fixture.deliver(refusal(core::outcome::unknown, false, true));
    fixture.steps.advance(50ms);
    fixture.sendResponse();
    BOOST_TEST(fixture.response->body == "answer");
    BOOST_TEST(fixture.suspects.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_callers_disconnect_cancels_an_idempotent_request_but_not_a_keyed_one)
{
    run_fixture fixture;
    const auto run = fixture.start(run_fixture::completion());
    run->onCallerDisconnected();
    fixture.steps.run();
    BOOST_TEST(fixture.link.streams[0].cancelled);
    BOOST_TEST(fixture.admitted.inFlight() == 0U);
    BOOST_TEST(fixture.response->status == 0);

    const auto start = fixture.start(run_fixture::pivotStart());
    start->onCallerDisconnected();
    fixture.steps.run();
    BOOST_TEST(!fixture.link.streams[1].cancelled);
    BOOST_TEST(fixture.admitted.inFlight() == 1U);
    fixture.sendResponse();
    BOOST_TEST(fixture.admitted.inFlight() == 0U);
    BOOST_TEST(fixture.response->status == 0);
}

BOOST_AUTO_TEST_CASE(retries_stop_when_the_budget_is_spent)
{
    run_fixture fixture;
    while (fixture.retries.tryConsume()) { }
    fixture.start(run_fixture::completion());
    fixture.endStream(peer::stream_end::broken);
    BOOST_TEST(fixture.link.streams.size() == 1U);
    BOOST_TEST(fixture.response->status == 502);
    // A retry after an attempt that reached no target isn't charged to the budget.
    fixture.start(run_fixture::completion());
    fixture.endStream(peer::stream_end::not_processed);
    fixture.steps.advance(1ms);
    BOOST_TEST(fixture.link.streams.size() == 3U);
}

BOOST_AUTO_TEST_CASE(no_attempt_is_sent_after_a_process_pause_past_the_deadline)
{
    run_fixture fixture;
    fixture.start(run_fixture::completion());
    fixture.clock.advance(10min);
    fixture.endStream(peer::stream_end::not_processed);
    fixture.steps.run();
    BOOST_TEST(fixture.link.streams.size() == 1U);
    BOOST_TEST(fixture.response->status == 504);
    BOOST_TEST(errorField(fixture, "outcome") == "not_run");
}

BOOST_AUTO_TEST_CASE(a_response_over_the_size_limit_is_an_error_with_outcome_ran)
{
    run_fixture fixture;
    fixture.settings.requests.maxResponseBytes = 4;
    fixture.start(run_fixture::completion());
    fixture.sendAccepted();
    fixture.sendHead();
    fixture.sendChunk(0, "answer");
    BOOST_TEST(errorField(fixture, "code") == "answer_too_large");
    BOOST_TEST(errorField(fixture, "outcome") == "ran");
}
