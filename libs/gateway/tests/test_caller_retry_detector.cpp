#include <medlarrack/gateway/caller_retry_detector.hpp>

#include <boost/test/unit_test.hpp>

using medlarrack::gateway::caller_retry_detector;
using medlarrack::gateway::maxHoldTime;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(caller_retry_detector_suite)

BOOST_AUTO_TEST_CASE(less_time_left_than_is_usual_on_the_route_marks_a_retry)
{
    caller_retry_detector callerRetryDetector;
    BOOST_TEST(!callerRetryDetector.recordRequest("a", milliseconds(6'000)));
    BOOST_TEST(callerRetryDetector.recordRequest("a", milliseconds(4'100)));
    BOOST_TEST(!callerRetryDetector.recordRequest("a", milliseconds(5'990)));
    // Each route has its own usual time.
    BOOST_TEST(!callerRetryDetector.recordRequest("b", milliseconds(3'000)));
    BOOST_TEST(callerRetryDetector.recordRequest("b", milliseconds(2'500)));
}

BOOST_AUTO_TEST_CASE(a_single_unusual_deadline_has_no_lasting_effect)
{
    caller_retry_detector callerRetryDetector;
    callerRetryDetector.recordRequest("a", milliseconds(60'000));
    bool isCallerRetry = true;
    for (int request = 0; request < 1'200; ++request) {
        isCallerRetry = callerRetryDetector.recordRequest("a", milliseconds(6'000));
    }
    BOOST_TEST(!isCallerRetry);
}

BOOST_AUTO_TEST_CASE(a_mass_restart_holds_caller_retries_while_their_answer_can_be_made_in_time)
{
    // After a power failure callers retry within what is left of their 6 s and give up after a second refusal; engines
    // are back within 2 s.
    constexpr milliseconds callerIdleTimeout{2'400};
    BOOST_TEST((maxHoldTime(milliseconds(6'000), callerIdleTimeout, false) == milliseconds(1'500)));
    BOOST_TEST((maxHoldTime(milliseconds(3'100), callerIdleTimeout, true) == milliseconds(1'900)));
    // If little time is left, most of it is reserved for the answer.
    BOOST_TEST((maxHoldTime(milliseconds(1'000), callerIdleTimeout, true) == milliseconds(300)));
    BOOST_TEST((maxHoldTime(milliseconds(1'000), callerIdleTimeout, false) == milliseconds(300)));
    // A caller abandons a silent connection at its idle time-out.
    BOOST_TEST((maxHoldTime(milliseconds(4'500), callerIdleTimeout, true) == milliseconds(2'100)));
}

BOOST_AUTO_TEST_SUITE_END()
