#include <medlarrack/suspects/crash_detector.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace std::chrono_literals;
using suspects::crash_detector;
using suspects::suspect_status;

namespace {

constexpr std::uint64_t poison = 17;
constexpr core::monotonic_time start{1h};

std::optional<bool> nobodyKnows(const core::instance_ref &)
{
    return std::nullopt;
}

std::optional<bool> itLives(const core::instance_ref &)
{
    return true;
}

suspects::lost_run runAt(const std::string &target, core::monotonic_time startedAt, bool disconnected = true)
{
    return {poison, {target, 1}, startedAt, disconnected};
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_detector_suite)

BOOST_AUTO_TEST_CASE(three_runs_lost_one_after_the_other_refuse_a_request_at_once)
{
    crash_detector watch;
    watch.recordLostRun(runAt("e-1", start), start + 10ms);
    BOOST_TEST((watch.statusOf(poison, start + 10ms) == suspect_status::suspect));
    watch.recordLostRun(runAt("e-2", start + 11ms), start + 20ms);
    BOOST_TEST((watch.statusOf(poison, start + 20ms) == suspect_status::suspect));
    watch.recordLostRun(runAt("e-3", start + 21ms), start + 30ms);
    BOOST_TEST((watch.statusOf(poison, start + 30ms) == suspect_status::refused));
    BOOST_TEST((watch.statusOf(18, start + 30ms) == suspect_status::clear));
}

// Guards against a mass crash that takes a popular request from all its callers.
BOOST_AUTO_TEST_CASE(copies_of_a_request_that_ran_everywhere_when_targets_went_at_once_do_not_refuse_it)
{
    crash_detector watch;
    for (int target = 0; target < 6; ++target) {
        watch.recordLostRun(runAt("e-" + std::to_string(target), start), start + 300ms);
        watch.recordTargetEnd("e-" + std::to_string(target), start + 310ms);
    }
    BOOST_TEST((watch.statusOf(poison, start + 310ms) == suspect_status::suspect));
    BOOST_TEST(watch.takeConfirmedCrashes().size() == 1U);
    watch.recordAnswer(poison, start + 600ms);
    BOOST_TEST((watch.statusOf(poison, start + 600ms) == suspect_status::clear));
}

BOOST_AUTO_TEST_CASE(a_target_that_answers_later_requests_has_not_crashed)
{
    crash_detector watch;
    watch.recordLostRun(runAt("e-1", start), start + 10ms);
    // This one may have been answered before the run was lost.
    watch.recordTargetAnswer({"e-1", 1}, start + 5ms, start + 20ms);
    BOOST_TEST((watch.statusOf(poison, start + 20ms) == suspect_status::suspect));
    watch.recordTargetAnswer({"e-1", 1}, start + 15ms, start + 20ms);
    BOOST_TEST((watch.statusOf(poison, start + 20ms) == suspect_status::clear));
}

BOOST_AUTO_TEST_CASE(a_target_that_answers_as_another_incarnation_had_crashed)
{
    crash_detector watch;
    watch.recordLostRun(runAt("e-1", start), start + 10ms);
    watch.recordTargetAnswer({"e-1", 2}, start + 900ms, start + 920ms);
    BOOST_TEST(watch.takeConfirmedCrashes().size() == 1U);
    BOOST_TEST((watch.statusOf(poison, start + 1s) == suspect_status::suspect));
}

BOOST_AUTO_TEST_CASE(silence_confirms_only_what_the_target_disconnected)
{
    crash_detector watch;
    watch.recordLostRun(runAt("e-1", start), start);
    watch.recordLostRun({18, {"e-1", 1}, start, false}, start);
    watch.resolveOverdueRuns(start + 1s, nobodyKnows);
    BOOST_TEST(watch.takeConfirmedCrashes().empty());
    watch.resolveOverdueRuns(start + 2s, nobodyKnows);
    BOOST_TEST(watch.takeConfirmedCrashes().size() == 1U);
    BOOST_TEST((watch.statusOf(poison, start + 2s) == suspect_status::suspect));
    BOOST_TEST((watch.statusOf(18, start + 2s) == suspect_status::clear));
}

BOOST_AUTO_TEST_CASE(a_target_that_is_known_to_live_clears_what_was_lost_there)
{
    crash_detector watch;
    watch.recordLostRun(runAt("e-1", start), start);
    watch.resolveOverdueRuns(start + 2s, itLives);
    BOOST_TEST((watch.statusOf(poison, start + 2s) == suspect_status::clear));
    BOOST_TEST(watch.takeNews(start + 5s).empty());
}

BOOST_AUTO_TEST_CASE(a_run_found_lost_after_its_target_was_known_to_have_ended_speaks_against_the_request)
{
    crash_detector watch;
    watch.recordTargetEnd("e-1", start + 100ms);
    watch.recordLostRun(runAt("e-1", start, false), start + 1'600ms);
    BOOST_TEST(watch.takeConfirmedCrashes().size() == 1U);
    // The next incarnation lost no run by that end.
    watch.recordLostRun({18, {"e-1", 2}, start + 5s, false}, start + 6s);
    BOOST_TEST(watch.takeConfirmedCrashes().empty());
}

BOOST_AUTO_TEST_CASE(a_second_crash_is_told_at_once_and_a_single_one_only_if_no_answer_follows)
{
    crash_detector watch;
    watch.recordLostRun(runAt("e-1", start), start);
    watch.recordTargetEnd("e-1", start);
    BOOST_TEST(watch.takeNews(start + 500ms).empty());
    watch.recordLostRun(runAt("e-2", start + 500ms), start + 600ms);
    watch.recordTargetEnd("e-2", start + 600ms);
    BOOST_TEST(watch.takeNews(start + 600ms).crashes.size() == 2U);
    BOOST_TEST(watch.takeNews(start + 5s).empty());

    watch.recordLostRun({18, {"e-3", 1}, start, true}, start);
    watch.recordTargetEnd("e-3", start);
    watch.recordAnswer(18, start + 900ms);
    BOOST_TEST(watch.takeNews(start + 5s).empty());
}

BOOST_AUTO_TEST_CASE(an_answer_after_a_crash_was_told_is_told_too)
{
    crash_detector watch;
    watch.recordLostRun(runAt("e-1", start), start);
    watch.recordTargetEnd("e-1", start);
    BOOST_TEST(watch.takeNews(start + 1s).crashes.size() == 1U);
    watch.recordAnswer(poison, start + 2s);
    const core::crash_news news = watch.takeNews(start + 2s);
    BOOST_TEST(news.crashes.empty());
    BOOST_TEST(news.acquittals.size() == 1U);
}

// Guards against a popular request that is refused because it runs on each replica that crashes by another's fault.
BOOST_AUTO_TEST_CASE(a_request_that_is_answered_between_crashes_is_not_refused)
{
    crash_detector here;
    crash_detector there;
    for (int round = 0; round < 6; ++round) {
        const core::monotonic_time at = start + round * 100ms;
        here.recordLostRun(runAt("e-" + std::to_string(round), at), at + 20ms);
        here.recordTargetEnd("e-" + std::to_string(round), at + 20ms);
        // Another process sees the answers.
        there.recordAnswer(poison, at + 50ms);
        const auto merged = there.merge(here.takeNews(at + 60ms), at + 60ms);
        here.merge({{}, merged.missedAcquittals}, at + 70ms);
        BOOST_TEST((here.statusOf(poison, at + 70ms) != suspect_status::refused));
        BOOST_TEST((there.statusOf(poison, at + 70ms) != suspect_status::refused));
    }
}

BOOST_AUTO_TEST_CASE(an_answer_takes_back_a_refusal_by_crashes_before_it)
{
    crash_detector watch;
    for (int round = 0; round < 3; ++round) {
        watch.recordLostRun(runAt("e-" + std::to_string(round), start + round * 100ms), start + round * 100ms + 20ms);
        watch.recordTargetEnd("e-" + std::to_string(round), start + round * 100ms + 20ms);
    }
    BOOST_TEST((watch.statusOf(poison, start + 300ms) == suspect_status::refused));
    watch.merge({{}, {{poison, 150ms}}}, start + 300ms);
    BOOST_TEST((watch.statusOf(poison, start + 300ms) == suspect_status::suspect));
}

BOOST_AUTO_TEST_CASE(answers_are_remembered_within_bounds)
{
    crash_detector watch;
    for (std::uint64_t fingerprint = 0; fingerprint < 40'000; ++fingerprint) {
        watch.recordAnswer(fingerprint, start);
    }
    const core::crash_news old = {{{1, 7, 1s, 0ms}}, {}};
    const core::crash_news recent = {{{39'999, 7, 1s, 0ms}}, {}};
    watch.merge(old, start + 500ms);
    watch.merge(recent, start + 500ms);
    BOOST_TEST((watch.statusOf(1, start + 500ms) == suspect_status::suspect));
    BOOST_TEST((watch.statusOf(39'999, start + 500ms) == suspect_status::clear));
}

// Guards against requests that find a target dead and are taken for the cause of it.
BOOST_AUTO_TEST_CASE(runs_that_began_after_a_target_lost_one_say_nothing_until_it_answers)
{
    crash_detector watch;
    watch.recordLostRun({18, {"e-1", 1}, start, true}, start + 10ms);
    watch.recordLostRun(runAt("e-1", start + 20ms), start + 21ms);
    watch.resolveOverdueRuns(start + 3s, nobodyKnows);
    BOOST_TEST((watch.statusOf(18, start + 3s) == suspect_status::suspect));
    BOOST_TEST((watch.statusOf(poison, start + 3s) == suspect_status::clear));
    watch.recordTargetAnswer({"e-1", 1}, start + 4s, start + 4s);
    watch.recordLostRun(runAt("e-1", start + 5s), start + 5s + 10ms);
    watch.resolveOverdueRuns(start + 8s, nobodyKnows);
    BOOST_TEST((watch.statusOf(poison, start + 8s) == suspect_status::suspect));
}

// Guards against callers that leave and hide the crash of the next request.
BOOST_AUTO_TEST_CASE(runs_that_nobody_waited_for_do_not_hide_a_crash)
{
    crash_detector watch;
    watch.recordLostRun({18, {"e-1", 1}, start, false}, start + 10ms);
    watch.recordLostRun(runAt("e-1", start + 20ms), start + 30ms);
    watch.recordTargetEnd("e-1", start + 40ms);
    BOOST_TEST((watch.statusOf(poison, start + 40ms) == suspect_status::suspect));
}

BOOST_AUTO_TEST_CASE(an_answer_is_told_if_any_crash_before_it_was)
{
    crash_detector watch;
    watch.recordLostRun(runAt("e-1", start), start);
    watch.recordTargetEnd("e-1", start);
    BOOST_TEST(watch.takeNews(start + 1s).crashes.size() == 1U);
    watch.recordLostRun(runAt("e-2", start + 2s), start + 2s + 10ms);
    watch.recordTargetEnd("e-2", start + 2s + 10ms);
    watch.recordAnswer(poison, start + 3s);
    BOOST_TEST(watch.takeNews(start + 3s).acquittals.size() == 1U);
}

// Guards against a refusal of ten minutes by crashes that another request caused.
BOOST_AUTO_TEST_CASE(a_refused_request_is_probed_once_when_all_is_calm_and_comes_back_by_its_answer)
{
    crash_detector watch;
    for (int round = 0; round < 3; ++round) {
        watch.recordLostRun(runAt("e-" + std::to_string(round), start + round * 100ms), start + round * 100ms + 20ms);
        watch.recordTargetEnd("e-" + std::to_string(round), start + round * 100ms + 20ms);
    }
    BOOST_TEST(!watch.mayProbe(poison, start + 1s));
    // Another request's crash, told by another process.
    watch.merge({{{18, 7, 0ms, 0ms}}, {}}, start + 7s);
    BOOST_TEST(!watch.mayProbe(poison, start + 8s));
    BOOST_TEST(watch.mayProbe(poison, start + 9s));
    watch.recordProbe(poison, {"e-9", 1}, start + 9s);
    BOOST_TEST(!watch.mayProbe(poison, start + 9s));
    BOOST_TEST((watch.statusOf(poison, start + 9s) == suspect_status::refused));
    watch.recordAnswer(poison, start + 10s);
    BOOST_TEST((watch.statusOf(poison, start + 10s) == suspect_status::clear));
}

// Guards against probes that crash a replica for each gateway.
BOOST_AUTO_TEST_CASE(probes_of_all_processes_together_are_few_also_of_ones_that_start_anew)
{
    std::vector<crash_detector> processes;
    for (std::uint64_t seed = 0; seed < 6; ++seed) {
        processes.emplace_back(suspects::sharedLimits, seed * 1'000);
    }
    suspects::suspect_table agent(suspects::sharedLimits);
    const auto tell = [&](core::monotonic_time at) {
        for (crash_detector &from : processes) {
            const core::crash_news news = agent.merge(from.takeNews(at), at);
            for (crash_detector &to : processes) {
                to.merge(news, at);
            }
        }
    };
    for (int round = 0; round < 3; ++round) {
        const auto at = start + round * 100ms;
        processes[0].recordLostRun(runAt("e-" + std::to_string(round), at), at + 20ms);
        processes[0].recordTargetEnd("e-" + std::to_string(round), at + 20ms);
    }
    std::size_t probes = 0;
    for (auto at = start + 1s; at < start + 150s; at += 50ms) {
        tell(at);
        if ((at - start) % 7s == 0s) {
            processes[2] = crash_detector(suspects::sharedLimits, 2'000);
            processes[2].merge({agent.records(at), {}}, at);
        }
        for (crash_detector &one : processes) {
            BOOST_TEST_REQUIRE((one.statusOf(poison, at) == suspect_status::refused));
            if (one.mayProbe(poison, at)) {
                const std::string target = "p-" + std::to_string(++probes);
                one.recordProbe(poison, {target, 1}, at);
                one.recordLostRun(runAt(target, at), at + 10ms);
                tell(at + 10ms);
            }
            one.resolveOverdueRuns(at + 10ms, nobodyKnows);
        }
    }
    // The users allow three.
    BOOST_TEST(probes == 2U);
}

// Guards against a request that crashes a replica for each process that it is sent through.
BOOST_AUTO_TEST_CASE(what_one_process_learnt_refuses_the_request_at_another_and_at_one_started_later)
{
    crash_detector seen;
    crash_detector other;
    crash_detector later;
    seen.recordLostRun(runAt("e-1", start), start);
    seen.recordTargetEnd("e-1", start);
    seen.recordLostRun(runAt("e-2", start + 1ms), start + 10ms);
    seen.recordTargetEnd("e-2", start + 10ms);
    other.merge(seen.takeNews(start + 20ms), start + 25ms);
    BOOST_TEST((other.statusOf(poison, start + 25ms) == suspect_status::suspect));
    other.recordLostRun(runAt("e-3", start + 30ms), start + 40ms);
    other.recordTargetEnd("e-3", start + 40ms);
    seen.merge(other.takeNews(start + 40ms), start + 45ms);
    BOOST_TEST((seen.statusOf(poison, start + 45ms) == suspect_status::refused));
    BOOST_TEST((other.statusOf(poison, start + 45ms) == suspect_status::refused));
    later.merge(other.snapshot(start + 1min), start + 1min);
    BOOST_TEST((later.statusOf(poison, start + 1min) == suspect_status::refused));
    // Told back, it is no news.
    BOOST_TEST(seen.merge(other.snapshot(start + 1min), start + 1min).added.empty());
}

// Guards against an old suspicion that comes back with each process that meets the one that has not heard of its end.
BOOST_AUTO_TEST_CASE(a_process_that_tells_of_crashes_answered_since_is_told_so_also_by_those_that_only_heard_of_it)
{
    crash_detector answering;
    crash_detector hearing;
    suspects::suspect_table agent(suspects::sharedLimits);
    for (int round = 0; round < 3; ++round) {
        answering.recordLostRun(runAt("e-" + std::to_string(round), start + round * 100ms),
                                start + round * 100ms + 20ms);
        answering.recordTargetEnd("e-" + std::to_string(round), start + round * 100ms + 20ms);
    }
    const core::crash_news crashes = answering.takeNews(start + 300ms);
    agent.merge(crashes, start + 300ms);
    hearing.merge(crashes, start + 300ms);
    BOOST_TEST((hearing.statusOf(poison, start + 300ms) == suspect_status::refused));
    answering.recordAnswer(poison, start + 3s);
    hearing.merge(answering.takeNews(start + 3s), start + 3s);
    // The agent was cut off meanwhile. Long after, each process is linked with it again.
    const auto later = start + 5min;
    for (crash_detector *one : {&answering, &hearing}) {
        const suspects::merge_result merged = one->merge({agent.records(later), {}}, later);
        BOOST_TEST(merged.added.empty());
        BOOST_TEST_REQUIRE(merged.missedAcquittals.size() == 1U);
        BOOST_TEST(merged.missedAcquittals.front().age.count() == (later - start - 3s) / 1ms);
        BOOST_TEST((one->statusOf(poison, later) == suspect_status::clear));
    }
    agent.merge({{}, hearing.merge({agent.records(later), {}}, later).missedAcquittals}, later);
    BOOST_TEST((agent.statusOf(poison, later) == suspect_status::clear));
    // A crash since then counts.
    answering.recordLostRun(runAt("e-9", later), later);
    answering.recordTargetEnd("e-9", later);
    BOOST_TEST((answering.statusOf(poison, later) == suspect_status::suspect));
}

BOOST_AUTO_TEST_SUITE_END()
