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
    BOOST_TEST(
        (schedule.update(start + milliseconds(2'400), {.isDrained = true, .isEmpty = true}) == drain_step::serving));
    BOOST_TEST(
        (schedule.update(start + milliseconds(2'500), {.isDrained = true, .isEmpty = true}) == drain_step::closing));
    BOOST_TEST(
        (schedule.update(start + milliseconds(2'525), {.isDrained = true, .isEmpty = true}) == drain_step::ending));
    BOOST_TEST(
        (schedule.update(start + milliseconds(2'550), {.isDrained = true, .isEmpty = true}) == drain_step::done));
}

BOOST_AUTO_TEST_CASE(a_process_listens_as_long_as_requests_come_until_shortly_before_the_end)
{
    drain_schedule schedule(start, milliseconds(8'000));
    const auto askedAt = start + milliseconds(2'400);
    BOOST_TEST(
        (schedule.update(start + milliseconds(3'099), {.isDrained = true, .isEmpty = true, .lastRequestAt = askedAt})
         == drain_step::serving));
    BOOST_TEST(
        (schedule.update(start + milliseconds(3'100), {.isDrained = true, .isEmpty = true, .lastRequestAt = askedAt})
         == drain_step::closing));
    drain_schedule asked(start, milliseconds(8'000));
    const auto justNow = start + milliseconds(6'499);
    BOOST_TEST(
        (asked.update(justNow, {.isDrained = true, .isEmpty = true, .lastRequestAt = justNow}) == drain_step::serving));
    BOOST_TEST(
        (asked.update(start + milliseconds(6'500), {.isDrained = true, .isEmpty = true, .lastRequestAt = justNow})
         == drain_step::closing));
}

BOOST_AUTO_TEST_CASE(requests_in_progress_are_ended_when_the_time_is_over)
{
    drain_schedule schedule(start, milliseconds(8'000));
    schedule.update(start + milliseconds(2'500), {});
    BOOST_TEST((schedule.update(start + milliseconds(6'999), {}) == drain_step::closing));
    BOOST_TEST((schedule.update(start + milliseconds(7'000), {}) == drain_step::ending));
    BOOST_TEST((schedule.update(start + milliseconds(7'299), {.isDrained = true}) == drain_step::ending));
    BOOST_TEST((schedule.update(start + milliseconds(7'300), {.isDrained = true}) == drain_step::done));
}

// Guards against a process that stands still past the end of its stop and then ends without answering its requests.
BOOST_AUTO_TEST_CASE(requests_are_ended_also_if_the_clock_jumps_past_the_end)
{
    drain_schedule schedule(start, milliseconds(8'000));
    BOOST_TEST((schedule.update(start + milliseconds(60'000), {}) == drain_step::ending));
    BOOST_TEST(
        (schedule.update(start + milliseconds(60'025), {.isDrained = true, .isEmpty = true}) == drain_step::done));
}

BOOST_AUTO_TEST_SUITE_END()
