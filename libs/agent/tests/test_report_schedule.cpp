#include <medlarrack/agent/report_schedule.hpp>
#include <medlarrack/core/manual_clock.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using medlarrack::agent::report_schedule;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(report_schedule_suite)

// A load from memory takes 36 ms. With the report of the idle interval its requests waited up to 150 ms.
BOOST_AUTO_TEST_CASE(the_end_of_a_short_load_that_begins_while_the_engine_is_idle_is_seen_soon)
{
    core::manual_clock clock;
    report_schedule schedule;
    BOOST_TEST(schedule.next(false, clock.now()).count() == 150);
    clock.advance(milliseconds(5));
    const auto sooner = schedule.advance(true, clock.now());
    BOOST_REQUIRE(sooner.has_value());
    BOOST_TEST(sooner->count() <= 20);
    // A second order right after it doesn't put the report off.
    clock.advance(milliseconds(15));
    BOOST_TEST(!schedule.advance(true, clock.now()).has_value());
    clock.advance(milliseconds(5));
    BOOST_TEST(schedule.next(true, clock.now()).count() <= 20);
}

BOOST_AUTO_TEST_CASE(an_idle_engine_is_asked_seldom)
{
    core::manual_clock clock;
    report_schedule schedule;
    static_cast<void>(schedule.next(false, clock.now()));
    clock.advance(milliseconds(10));
    BOOST_TEST(!schedule.advance(false, clock.now()).has_value());
    clock.advance(milliseconds(130));
    // It is due anyway.
    BOOST_TEST(!schedule.advance(true, clock.now()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
