#include <medlarrack/suspects/crash_detector.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace std::chrono_literals;
using suspects::crash_detector;
using suspects::suspect_status;

namespace {

constexpr std::uint64_t poison = 17;
constexpr core::monotonic_time start{1h};

std::optional<bool> livenessUnknown(const core::instance_ref &)
{
    return std::nullopt;
}

std::optional<bool> isRunning(const core::instance_ref &)
{
    return true;
}

suspects::lost_run lostRunAt(const std::string &target, core::monotonic_time startedAt, bool disconnected = true)
{
    return {poison, {target, 1}, startedAt, disconnected};
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_detector_suite)

BOOST_AUTO_TEST_CASE(three_runs_lost_one_after_the_other_refuse_a_request_at_once)
{
    crash_detector detector;
    detector.recordLostRun(lostRunAt("e-1", start), start + 10ms);
    BOOST_TEST((detector.statusOf(poison, start + 10ms) == suspect_status::suspect));
    detector.recordLostRun(lostRunAt("e-2", start + 11ms), start + 20ms);
    BOOST_TEST((detector.statusOf(poison, start + 20ms) == suspect_status::suspect));
    detector.recordLostRun(lostRunAt("e-3", start + 21ms), start + 30ms);
    BOOST_TEST((detector.statusOf(poison, start + 30ms) == suspect_status::refused));
    BOOST_TEST((detector.statusOf(18, start + 30ms) == suspect_status::clear));
}

// Guards against refusing a common request for all callers after many targets, each running a copy of it, crash at
// once.
BOOST_AUTO_TEST_CASE(copies_of_a_request_that_ran_everywhere_when_targets_went_at_once_do_not_refuse_it)
{
    crash_detector detector;
    for (int target = 0; target < 6; ++target) {
        detector.recordLostRun(lostRunAt("e-" + std::to_string(target), start), start + 300ms);
        detector.recordTargetEnd("e-" + std::to_string(target), start + 310ms);
    }
    BOOST_TEST((detector.statusOf(poison, start + 310ms) == suspect_status::suspect));
    BOOST_TEST(detector.takeConfirmedCrashes().size() == 1U);
    detector.recordAnswer(poison, start + 600ms);
    BOOST_TEST((detector.statusOf(poison, start + 600ms) == suspect_status::clear));
}

BOOST_AUTO_TEST_CASE(a_target_that_answers_later_requests_has_not_crashed)
{
    crash_detector detector;
    detector.recordLostRun(lostRunAt("e-1", start), start + 10ms);
    // Sent before the run was lost, so it may have been answered before the loss too.
    detector.recordTargetAnswer({"e-1", 1}, start + 5ms, start + 20ms);
    BOOST_TEST((detector.statusOf(poison, start + 20ms) == suspect_status::suspect));
    detector.recordTargetAnswer({"e-1", 1}, start + 15ms, start + 20ms);
    BOOST_TEST((detector.statusOf(poison, start + 20ms) == suspect_status::clear));
}

BOOST_AUTO_TEST_CASE(a_target_that_answers_as_another_incarnation_had_crashed)
{
    crash_detector detector;
    detector.recordLostRun(lostRunAt("e-1", start), start + 10ms);
    detector.recordTargetAnswer({"e-1", 2}, start + 900ms, start + 920ms);
    BOOST_TEST(detector.takeConfirmedCrashes().size() == 1U);
    BOOST_TEST((detector.statusOf(poison, start + 1s) == suspect_status::suspect));
}

BOOST_AUTO_TEST_CASE(silence_confirms_only_what_the_target_disconnected)
{
    crash_detector detector;
    detector.recordLostRun(lostRunAt("e-1", start), start);
    detector.recordLostRun({18, {"e-1", 1}, start, false}, start);
    detector.resolveOverdueRuns(start + 1s, livenessUnknown);
    BOOST_TEST(detector.takeConfirmedCrashes().empty());
    detector.resolveOverdueRuns(start + 2s, livenessUnknown);
    BOOST_TEST(detector.takeConfirmedCrashes().size() == 1U);
    BOOST_TEST((detector.statusOf(poison, start + 2s) == suspect_status::suspect));
    BOOST_TEST((detector.statusOf(18, start + 2s) == suspect_status::clear));
}

BOOST_AUTO_TEST_CASE(a_target_that_is_known_to_live_clears_what_was_lost_there)
{
    crash_detector detector;
    detector.recordLostRun(lostRunAt("e-1", start), start);
    detector.resolveOverdueRuns(start + 2s, isRunning);
    BOOST_TEST((detector.statusOf(poison, start + 2s) == suspect_status::clear));
    BOOST_TEST(detector.takeNews(start + 5s).empty());
}

BOOST_AUTO_TEST_CASE(a_run_found_lost_after_its_target_was_known_to_have_ended_speaks_against_the_request)
{
    crash_detector detector;
    detector.recordTargetEnd("e-1", start + 100ms);
    detector.recordLostRun(lostRunAt("e-1", start, false), start + 1'600ms);
    BOOST_TEST(detector.takeConfirmedCrashes().size() == 1U);
    // A run lost at the next incarnation isn't caused by that end.
    detector.recordLostRun({18, {"e-1", 2}, start + 5s, false}, start + 6s);
    BOOST_TEST(detector.takeConfirmedCrashes().empty());
}

BOOST_AUTO_TEST_CASE(a_second_crash_is_told_at_once_and_a_single_one_only_if_no_answer_follows)
{
    crash_detector detector;
    detector.recordLostRun(lostRunAt("e-1", start), start);
    detector.recordTargetEnd("e-1", start);
    BOOST_TEST(detector.takeNews(start + 500ms).empty());
    detector.recordLostRun(lostRunAt("e-2", start + 500ms), start + 600ms);
    detector.recordTargetEnd("e-2", start + 600ms);
    BOOST_TEST(detector.takeNews(start + 600ms).crashes.size() == 2U);
    BOOST_TEST(detector.takeNews(start + 5s).empty());

    detector.recordLostRun({18, {"e-3", 1}, start, true}, start);
    detector.recordTargetEnd("e-3", start);
    detector.recordAnswer(18, start + 900ms);
    BOOST_TEST(detector.takeNews(start + 5s).empty());
}

BOOST_AUTO_TEST_CASE(an_answer_after_a_crash_was_told_is_told_too)
{
    crash_detector detector;
    detector.recordLostRun(lostRunAt("e-1", start), start);
    detector.recordTargetEnd("e-1", start);
    BOOST_TEST(detector.takeNews(start + 1s).crashes.size() == 1U);
    detector.recordAnswer(poison, start + 2s);
    const core::crash_news news = detector.takeNews(start + 2s);
    BOOST_TEST(news.crashes.empty());
    BOOST_TEST(news.acquittals.size() == 1U);
}

// Guards against refusing a common request that runs on every replica that another request crashes. Its answers arrive
// at another process than its lost runs.
BOOST_AUTO_TEST_CASE(a_request_that_is_answered_between_crashes_is_not_refused)
{
    crash_detector crashObserver;
    crash_detector answerObserver;
    for (int round = 0; round < 6; ++round) {
        const core::monotonic_time at = start + round * 100ms;
        crashObserver.recordLostRun(lostRunAt("e-" + std::to_string(round), at), at + 20ms);
        crashObserver.recordTargetEnd("e-" + std::to_string(round), at + 20ms);
        answerObserver.recordAnswer(poison, at + 50ms);
        const auto merged = answerObserver.merge(crashObserver.takeNews(at + 60ms), at + 60ms);
        crashObserver.merge({{}, merged.missedAcquittals}, at + 70ms);
        BOOST_TEST((crashObserver.statusOf(poison, at + 70ms) != suspect_status::refused));
        BOOST_TEST((answerObserver.statusOf(poison, at + 70ms) != suspect_status::refused));
    }
}

BOOST_AUTO_TEST_CASE(an_answer_takes_back_a_refusal_by_crashes_before_it)
{
    crash_detector detector;
    for (int round = 0; round < 3; ++round) {
        detector.recordLostRun(lostRunAt("e-" + std::to_string(round), start + round * 100ms),
                               start + round * 100ms + 20ms);
        detector.recordTargetEnd("e-" + std::to_string(round), start + round * 100ms + 20ms);
    }
    BOOST_TEST((detector.statusOf(poison, start + 300ms) == suspect_status::refused));
    detector.merge({{}, {{poison, 150ms}}}, start + 300ms);
    BOOST_TEST((detector.statusOf(poison, start + 300ms) == suspect_status::suspect));
}

BOOST_AUTO_TEST_CASE(answers_are_remembered_within_bounds)
{
    crash_detector detector;
    for (std::uint64_t fingerprint = 0; fingerprint < 40'000; ++fingerprint) {
        detector.recordAnswer(fingerprint, start);
    }
    const core::crash_news old = {{{1, 7, 1s, 0ms}}, {}};
    const core::crash_news recent = {{{39'999, 7, 1s, 0ms}}, {}};
    detector.merge(old, start + 500ms);
    detector.merge(recent, start + 500ms);
    BOOST_TEST((detector.statusOf(1, start + 500ms) == suspect_status::suspect));
    BOOST_TEST((detector.statusOf(39'999, start + 500ms) == suspect_status::clear));
}

// Guards against blaming requests that were sent to a target after it had crashed.
BOOST_AUTO_TEST_CASE(runs_that_began_after_a_target_lost_one_say_nothing_until_it_answers)
{
    crash_detector detector;
    detector.recordLostRun({18, {"e-1", 1}, start, true}, start + 10ms);
    detector.recordLostRun(lostRunAt("e-1", start + 20ms), start + 21ms);
    detector.resolveOverdueRuns(start + 3s, livenessUnknown);
    BOOST_TEST((detector.statusOf(18, start + 3s) == suspect_status::suspect));
    BOOST_TEST((detector.statusOf(poison, start + 3s) == suspect_status::clear));
    detector.recordTargetAnswer({"e-1", 1}, start + 4s, start + 4s);
    detector.recordLostRun(lostRunAt("e-1", start + 5s), start + 5s + 10ms);
    detector.resolveOverdueRuns(start + 8s, livenessUnknown);
    BOOST_TEST((detector.statusOf(poison, start + 8s) == suspect_status::suspect));
}

// Guards against missing a crash because an earlier run at the target was lost when its caller disconnected.
BOOST_AUTO_TEST_CASE(runs_that_nobody_waited_for_do_not_hide_a_crash)
{
    crash_detector detector;
    detector.recordLostRun({18, {"e-1", 1}, start, false}, start + 10ms);
    detector.recordLostRun(lostRunAt("e-1", start + 20ms), start + 30ms);
    detector.recordTargetEnd("e-1", start + 40ms);
    BOOST_TEST((detector.statusOf(poison, start + 40ms) == suspect_status::suspect));
}

BOOST_AUTO_TEST_CASE(an_answer_is_told_if_any_crash_before_it_was)
{
    crash_detector detector;
    detector.recordLostRun(lostRunAt("e-1", start), start);
    detector.recordTargetEnd("e-1", start);
    BOOST_TEST(detector.takeNews(start + 1s).crashes.size() == 1U);
    detector.recordLostRun(lostRunAt("e-2", start + 2s), start + 2s + 10ms);
    detector.recordTargetEnd("e-2", start + 2s + 10ms);
    detector.recordAnswer(poison, start + 3s);
    BOOST_TEST(detector.takeNews(start + 3s).acquittals.size() == 1U);
}

// Guards against cancelling runs of a sound request because callers of its content have just left three targets.
BOOST_AUTO_TEST_CASE(runs_lost_without_an_end_of_their_target_confirm_nothing)
{
    crash_detector detector;
    for (int round = 0; round < 3; ++round) {
        const auto at = start + round * 100ms;
        detector.recordLostRun(lostRunAt("e-" + std::to_string(round), at), at + 20ms);
    }
    BOOST_TEST((detector.statusOf(poison, start + 300ms) == suspect_status::refused));
    BOOST_TEST((detector.confirmedStatusOf(poison, start + 300ms) != suspect_status::refused));
    for (int round = 0; round < 3; ++round) {
        detector.recordTargetEnd("e-" + std::to_string(round), start + 300ms);
    }
    BOOST_TEST((detector.confirmedStatusOf(poison, start + 300ms) == suspect_status::refused));
}

// Guards against cancelling runs of sound requests because many targets ended within moments, whatever ended them.
BOOST_AUTO_TEST_CASE(a_run_is_not_cancelled_for_what_was_answered_shortly_before)
{
    const std::vector<std::uint64_t> parts{31};
    const auto crash = [](crash_detector &detector, const suspects::lost_run &run) {
        detector.recordLostRun(run, run.startedAt + 20ms);
        detector.recordTargetEnd(run.target.id, run.startedAt + 20ms);
    };
    const auto now = start + 2s;
    for (const bool wasAnswered : {true, false}) {
        crash_detector ofContent;
        crash_detector ofParts;
        if (wasAnswered) {
            ofContent.recordAnswer(poison, start);
            ofParts.recordAnswer(parts.front(), start);
        }
        for (std::uint64_t round = 0; round < 5; ++round) {
            const auto at = start + 1s + round * 100ms;
            const core::instance_ref target{"e-" + std::to_string(round), 1};
            crash(ofContent, {poison, target, at, true, {}});
            crash(ofParts, {100 + round, target, at, true, parts});
        }
        BOOST_TEST((ofContent.confirmedStatusOf(poison, now) == suspect_status::refused));
        BOOST_TEST(ofContent.mustCancel(poison, {}, now) == !wasAnswered);
        BOOST_TEST((ofParts.statusOfParts(parts, now) == suspect_status::refused));
        BOOST_TEST(ofParts.mustCancel(200, parts, now) == !wasAnswered);
    }
}

// Guards against refusing a request for ten minutes because of crashes that another request caused.
BOOST_AUTO_TEST_CASE(a_refused_request_is_probed_once_when_all_is_calm_and_comes_back_by_its_answer)
{
    crash_detector detector;
    for (int round = 0; round < 3; ++round) {
        detector.recordLostRun(lostRunAt("e-" + std::to_string(round), start + round * 100ms),
                               start + round * 100ms + 20ms);
        detector.recordTargetEnd("e-" + std::to_string(round), start + round * 100ms + 20ms);
    }
    BOOST_TEST(!detector.mayProbe(poison, start + 1s));
    // A crash caused by another request, reported by another process.
    detector.merge({{{18, 7, 0ms, 0ms}}, {}}, start + 7s);
    BOOST_TEST(!detector.mayProbe(poison, start + 8s));
    BOOST_TEST(detector.mayProbe(poison, start + 9s));
    detector.recordProbe(poison, {"e-9", 1}, start + 9s);
    BOOST_TEST(!detector.mayProbe(poison, start + 9s));
    BOOST_TEST((detector.statusOf(poison, start + 9s) == suspect_status::refused));
    detector.recordAnswer(poison, start + 10s);
    BOOST_TEST((detector.statusOf(poison, start + 10s) == suspect_status::clear));
}

// Guards against refusing a sound request for minutes because its only probe was rejected, and so never answered.
BOOST_AUTO_TEST_CASE(a_probe_that_was_rejected_does_not_delay_the_next_one)
{
    crash_detector detector;
    for (int round = 0; round < 3; ++round) {
        detector.recordLostRun(lostRunAt("e-" + std::to_string(round), start + round * 100ms),
                               start + round * 100ms + 20ms);
        detector.recordTargetEnd("e-" + std::to_string(round), start + round * 100ms + 20ms);
    }
    static_cast<void>(detector.takeNews(start + 5s));
    BOOST_TEST(detector.mayProbe(poison, start + 9s));
    detector.recordProbe(poison, {"e-9", 1}, start + 9s);
    BOOST_TEST(detector.takeNews(start + 9s + 25ms).crashes.empty());
    detector.withdrawProbes({"e-8", 1}, start + 9s);
    BOOST_TEST(!detector.mayProbe(poison, start + 9s + 30ms));
    detector.withdrawProbes({"e-9", 1}, start + 9s);
    BOOST_TEST(detector.mayProbe(poison, start + 9s + 30ms));
    BOOST_TEST((detector.statusOf(poison, start + 10s) == suspect_status::refused));
    BOOST_TEST(detector.takeNews(start + 10s).crashes.empty());
    // One that isn't rejected is told to the other processes.
    detector.recordProbe(poison, {"e-9", 1}, start + 10s);
    BOOST_TEST(detector.takeNews(start + 10s + 300ms).crashes.size() == 1U);
    detector.withdrawProbes({"e-9", 1}, start + 10s);
    BOOST_TEST(!detector.mayProbe(poison, start + 12s));
}

// Guards against every gateway sending its own probe, each of which crashes a replica. One process restarts repeatedly
// and only has what the agent reports to it.
BOOST_AUTO_TEST_CASE(probes_of_all_processes_together_are_few_also_of_ones_that_start_anew)
{
    std::vector<crash_detector> processes;
    for (std::uint64_t seed = 0; seed < 6; ++seed) {
        processes.emplace_back(suspects::sharedLimits, seed * 1'000);
    }
    suspects::suspect_table agent(suspects::sharedLimits);
    const auto exchangeNews = [&](core::monotonic_time at) {
        for (crash_detector &from : processes) {
            const core::crash_news news = agent.merge(from.takeNews(at), at);
            for (crash_detector &to : processes) {
                to.merge(news, at);
            }
        }
    };
    for (int round = 0; round < 3; ++round) {
        const auto at = start + round * 100ms;
        processes[0].recordLostRun(lostRunAt("e-" + std::to_string(round), at), at + 20ms);
        processes[0].recordTargetEnd("e-" + std::to_string(round), at + 20ms);
    }
    std::size_t probes = 0;
    for (auto at = start + 1s; at < start + 150s; at += 50ms) {
        exchangeNews(at);
        if ((at - start) % 7s == 0s) {
            processes[2] = crash_detector(suspects::sharedLimits, 2'000);
            processes[2].merge({agent.records(at), {}}, at);
        }
        for (crash_detector &process : processes) {
            BOOST_TEST_REQUIRE((process.statusOf(poison, at) == suspect_status::refused));
            if (process.mayProbe(poison, at)) {
                const std::string target = "p-" + std::to_string(++probes);
                process.recordProbe(poison, {target, 1}, at);
                process.recordLostRun(lostRunAt(target, at), at + 10ms);
                exchangeNews(at + 10ms);
            }
            process.resolveOverdueRuns(at + 10ms, livenessUnknown);
        }
    }
    // Users accept at most three probes.
    BOOST_TEST(probes == 2U);
}

// Guards against a request that crashes replicas again for every process through which it is sent.
BOOST_AUTO_TEST_CASE(what_one_process_learnt_refuses_the_request_at_another_and_at_one_started_later)
{
    crash_detector observer;
    crash_detector peer;
    crash_detector lateStarter;
    observer.recordLostRun(lostRunAt("e-1", start), start);
    observer.recordTargetEnd("e-1", start);
    observer.recordLostRun(lostRunAt("e-2", start + 1ms), start + 10ms);
    observer.recordTargetEnd("e-2", start + 10ms);
    peer.merge(observer.takeNews(start + 20ms), start + 25ms);
    BOOST_TEST((peer.statusOf(poison, start + 25ms) == suspect_status::suspect));
    peer.recordLostRun(lostRunAt("e-3", start + 30ms), start + 40ms);
    peer.recordTargetEnd("e-3", start + 40ms);
    observer.merge(peer.takeNews(start + 40ms), start + 45ms);
    BOOST_TEST((observer.statusOf(poison, start + 45ms) == suspect_status::refused));
    BOOST_TEST((peer.statusOf(poison, start + 45ms) == suspect_status::refused));
    lateStarter.merge(peer.snapshot(start + 1min), start + 1min);
    BOOST_TEST((lateStarter.statusOf(poison, start + 1min) == suspect_status::refused));
    // Crashes that are reported back to their origin aren't new.
    BOOST_TEST(observer.merge(peer.snapshot(start + 1min), start + 1min).added.empty());
}

// Guards against a cleared suspicion returning through a process that missed the acquittal and reports the crashes to
// each process that connects to it.
BOOST_AUTO_TEST_CASE(a_process_that_tells_of_crashes_answered_since_is_told_so_also_by_those_that_only_heard_of_it)
{
    crash_detector answering;
    crash_detector informed;
    suspects::suspect_table agent(suspects::sharedLimits);
    for (int round = 0; round < 3; ++round) {
        answering.recordLostRun(lostRunAt("e-" + std::to_string(round), start + round * 100ms),
                                start + round * 100ms + 20ms);
        answering.recordTargetEnd("e-" + std::to_string(round), start + round * 100ms + 20ms);
    }
    const core::crash_news crashes = answering.takeNews(start + 300ms);
    agent.merge(crashes, start + 300ms);
    informed.merge(crashes, start + 300ms);
    BOOST_TEST((informed.statusOf(poison, start + 300ms) == suspect_status::refused));
    answering.recordAnswer(poison, start + 3s);
    informed.merge(answering.takeNews(start + 3s), start + 3s);
    // The agent was disconnected while the request was acquitted. Both processes reconnect to it much later.
    const auto reconnectedAt = start + 5min;
    for (crash_detector *detector : {&answering, &informed}) {
        const suspects::merge_result merged = detector->merge({agent.records(reconnectedAt), {}}, reconnectedAt);
        BOOST_TEST(merged.added.empty());
        BOOST_TEST_REQUIRE(merged.missedAcquittals.size() == 1U);
        BOOST_TEST(merged.missedAcquittals.front().age.count() == (reconnectedAt - start - 3s) / 1ms);
        BOOST_TEST((detector->statusOf(poison, reconnectedAt) == suspect_status::clear));
    }
    agent.merge({{}, informed.merge({agent.records(reconnectedAt), {}}, reconnectedAt).missedAcquittals},
                reconnectedAt);
    BOOST_TEST((agent.statusOf(poison, reconnectedAt) == suspect_status::clear));
    // Crashes after the acquittal count.
    answering.recordLostRun(lostRunAt("e-9", reconnectedAt), reconnectedAt);
    answering.recordTargetEnd("e-9", reconnectedAt);
    BOOST_TEST((answering.statusOf(poison, reconnectedAt) == suspect_status::suspect));
}

BOOST_AUTO_TEST_SUITE_END()
