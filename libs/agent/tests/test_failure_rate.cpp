#include <medlarrack/agent/failure_rate.hpp>
#include <medlarrack/core/manual_clock.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using medlarrack::agent::failure_rate;
using std::chrono::milliseconds;

namespace {

struct fixture
{
    core::manual_clock clock;
    failure_rate failures;

    [[nodiscard]] double share() const
    {
        return failures.share(clock.now());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(failure_rate_suite, fixture)

BOOST_AUTO_TEST_CASE(an_engine_that_fails_four_of_ten_shows_within_half_a_second_of_what_all_gateways_send)
{
    // 24 gateways send 22 requests a second; each of them alone sees one.
    for (int step = 0; step < 11; ++step) {
        clock.advance(milliseconds(45));
        failures.ended(step % 5 < 3 ? 1 : 0, step % 5 < 3 ? 0 : 1, clock.now());
    }
    BOOST_TEST(share() > 0.25);
    BOOST_TEST(share() < 0.5);
}

BOOST_AUTO_TEST_CASE(an_engine_that_gets_nothing_any_more_is_forgotten_to_fail)
{
    failures.ended(0, 10, clock.now());
    BOOST_TEST(share() == 1.0);
    clock.advance(milliseconds(2'500));
    BOOST_TEST(share() == 0.0);
}

BOOST_AUTO_TEST_CASE(single_failures_say_nothing)
{
    failures.ended(0, 3, clock.now());
    BOOST_TEST(share() == 0.0);
    failures.ended(20, 0, clock.now());
    BOOST_TEST(share() < 0.15);
}

BOOST_AUTO_TEST_CASE(a_start_clears_the_failures_of_a_crash_but_not_of_a_series_of_crashes)
{
    failures.ended(0, 20, clock.now());
    failures.restarted(clock.now());
    BOOST_TEST(share() == 0.0);
    clock.advance(milliseconds(1'400));
    failures.ended(0, 20, clock.now());
    failures.restarted(clock.now());
    BOOST_TEST(share() == 1.0);
    clock.advance(milliseconds(7'000));
    failures.ended(0, 20, clock.now());
    failures.restarted(clock.now());
    BOOST_TEST(share() == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
