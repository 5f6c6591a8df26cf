#include <medlarrack/core/manual_clock.hpp>
#include <medlarrack/gateway/prefill_estimate.hpp>

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace medlarrack;
using namespace medlarrack::gateway;
using std::chrono::milliseconds;

namespace {

double inMs(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

BOOST_AUTO_TEST_SUITE(prefill_estimates)

// Guards against an engine avoided for a long prompt that it has nearly prefilled: its tokens stay reported until its
// first event.
BOOST_AUTO_TEST_CASE(what_has_been_prefilled_since_a_prompt_was_sent_no_longer_counts)
{
    core::manual_clock clock;
    prefill_estimate estimate;
    estimate.recordPending(38'000, clock.now());
    BOOST_TEST(inMs(estimate.remainingTime(38'000, clock.now())) == 1'000, boost::test_tools::tolerance(0.01));
    clock.advance(milliseconds(600));
    BOOST_TEST(inMs(estimate.remainingTime(38'000, clock.now())) == 400, boost::test_tools::tolerance(0.01));
    // A prompt sent after it adds its own tokens only.
    estimate.recordPending(41'800, clock.now());
    BOOST_TEST(inMs(estimate.remainingTime(41'800, clock.now())) == 500, boost::test_tools::tolerance(0.01));
    // The first one's first event: the tokens of the second one are left.
    clock.advance(milliseconds(400));
    BOOST_TEST(inMs(estimate.remainingTime(3'800, clock.now())) == 100, boost::test_tools::tolerance(0.01));
}

// Guards against an engine that hangs and looks idle, as it would have prefilled its prompts by now.
BOOST_AUTO_TEST_CASE(pending_prompts_count_in_part_however_old_they_are)
{
    core::manual_clock clock;
    prefill_estimate estimate;
    estimate.recordPending(38'000, clock.now());
    clock.advance(milliseconds(60'000));
    BOOST_TEST(inMs(estimate.remainingTime(38'000, clock.now())) > 100);
    BOOST_TEST(estimate.remainingTime(0, clock.now()).count() == 0);
}

// Guards against waits by the figures of another machine.
BOOST_AUTO_TEST_CASE(the_rate_follows_the_answers)
{
    prefill_estimate estimate;
    for (int answer = 0; answer < 30; ++answer) {
        estimate.recordFirstEvent(9'190, std::chrono::microseconds(300'300));
    }
    BOOST_TEST(estimate.tokensPerMs() == 30.6, boost::test_tools::tolerance(0.05));
    for (int answer = 0; answer < 60; ++answer) {
        estimate.recordFirstEvent(9'190, milliseconds(600));
    }
    BOOST_TEST(estimate.tokensPerMs() < 17);
}

// Guards against estimates ruined by answers from a cache, or behind a pause, or by step times and transit.
BOOST_AUTO_TEST_CASE(the_rate_stays_within_bounds_and_ignores_short_prompts)
{
    prefill_estimate estimate;
    estimate.recordFirstEvent(646, milliseconds(400));
    BOOST_TEST(estimate.tokensPerMs() == 38, boost::test_tools::tolerance(0.001));
    for (int answer = 0; answer < 200; ++answer) {
        estimate.recordFirstEvent(20'000, milliseconds(0));
    }
    BOOST_TEST((estimate.tokensPerMs() > 38 && estimate.tokensPerMs() <= 152.1));
    for (int answer = 0; answer < 400; ++answer) {
        estimate.recordFirstEvent(20'000, milliseconds(60'000));
    }
    BOOST_TEST((estimate.tokensPerMs() < 38 && estimate.tokensPerMs() >= 9.4));
}

BOOST_AUTO_TEST_SUITE_END()
