#include <medlarrack/gateway/drain_schedule.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack::gateway;
using medlarrack::core::monotonic_time;
using std::chrono::milliseconds;

namespace {

constexpr monotonic_time start{milliseconds(5'000)};

} // namespace

BOOST_AUTO_TEST_SUITE(drain_schedule_suite)

BOOST_AUTO_TEST_CASE(an_idle_process_listens_for_a_while_and_then_ends)
{
    drain_schedule schedule(start, milliseconds(8'000));
    BOOST_TEST((schedule.update(start + milliseconds(2'400), true, true) == drain_step::serving));
    BOOST_TEST((schedule.update(start + milliseconds(2'500), true, true) == drain_step::closing));
    BOOST_TEST((schedule.update(start + milliseconds(2'525), true, true) == drain_step::ending));
    BOOST_TEST((schedule.update(start + milliseconds(2'550), true, true) == drain_step::done));
}

BOOST_AUTO_TEST_CASE(requests_in_progress_are_ended_when_the_time_is_over)
{
    drain_schedule schedule(start, milliseconds(8'000));
    schedule.update(start + milliseconds(2'500), false, false);
    BOOST_TEST((schedule.update(start + milliseconds(6'999), false, false) == drain_step::closing));
    BOOST_TEST((schedule.update(start + milliseconds(7'000), false, false) == drain_step::ending));
    BOOST_TEST((schedule.update(start + milliseconds(7'299), true, false) == drain_step::ending));
    BOOST_TEST((schedule.update(start + milliseconds(7'300), true, false) == drain_step::done));
}

// Guards against a process that stands still past the end of its stop and then ends without answering its requests.
BOOST_AUTO_TEST_CASE(requests_are_ended_also_if_the_clock_jumps_past_the_end)
{
    drain_schedule schedule(start, milliseconds(8'000));
    BOOST_TEST((schedule.update(start + milliseconds(60'000), false, false) == drain_step::ending));
    BOOST_TEST((schedule.update(start + milliseconds(60'025), true, true) == drain_step::done));
}

BOOST_AUTO_TEST_SUITE_END()
