#include <medlarrack/gateway/caller_retry_detector.hpp>

#include <boost/test/unit_test.hpp>

using medlarrack::gateway::caller_retry_detector;
using medlarrack::gateway::maxHoldTime;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(caller_retry_detector_suite)

BOOST_AUTO_TEST_CASE(a_caller_with_less_time_than_is_usual_on_its_route_has_come_before)
{
    caller_retry_detector callers;
    BOOST_TEST(!callers.recordRequest("a", milliseconds(6'000)));
    BOOST_TEST(callers.recordRequest("a", milliseconds(4'100)));
    BOOST_TEST(!callers.recordRequest("a", milliseconds(5'990)));
    // Each route has its own usual time.
    BOOST_TEST(!callers.recordRequest("b", milliseconds(3'000)));
    BOOST_TEST(callers.recordRequest("b", milliseconds(2'500)));
}

BOOST_AUTO_TEST_CASE(one_odd_deadline_does_not_count_for_long)
{
    caller_retry_detector callers;
    callers.recordRequest("a", milliseconds(60'000));
    bool returning = true;
    for (int request = 0; request < 1'200; ++request) {
        returning = callers.recordRequest("a", milliseconds(6'000));
    }
    BOOST_TEST(!returning);
}

BOOST_AUTO_TEST_CASE(a_mass_restart_holds_returning_callers_while_their_answer_can_be_made_in_time)
{
    // After a loss of power callers come back with what is left of their 6 s and are refused for good the second time;
    // engines are back within 2 s.
    constexpr milliseconds patience{2'400};
    BOOST_TEST((maxHoldTime(milliseconds(6'000), patience, false) == milliseconds(1'500)));
    BOOST_TEST((maxHoldTime(milliseconds(3'100), patience, true) == milliseconds(1'900)));
    // Of what is short in any case, most is left for the answer.
    BOOST_TEST((maxHoldTime(milliseconds(1'000), patience, true) == milliseconds(300)));
    BOOST_TEST((maxHoldTime(milliseconds(1'000), patience, false) == milliseconds(300)));
    // A caller that hears nothing leaves.
    BOOST_TEST((maxHoldTime(milliseconds(4'500), patience, true) == milliseconds(2'100)));
}

BOOST_AUTO_TEST_SUITE_END()
