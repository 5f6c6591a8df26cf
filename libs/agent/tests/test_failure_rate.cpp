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
    failure_rate estimator;

    [[nodiscard]] double rate() const
    {
        return estimator.rate(clock.now());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(failure_rate_suite, fixture)

BOOST_AUTO_TEST_CASE(an_engine_that_fails_four_of_ten_shows_within_half_a_second_of_what_all_gateways_send)
{
    // 24 gateways together send 22 requests a second, so that each alone sees about one.
    for (int step = 0; step < 11; ++step) {
        clock.advance(milliseconds(45));
        estimator.record(step % 5 < 3 ? 1 : 0, step % 5 < 3 ? 0 : 1, clock.now());
    }
    BOOST_TEST(rate() > 0.25);
    BOOST_TEST(rate() < 0.5);
}

BOOST_AUTO_TEST_CASE(failures_are_forgotten_once_an_engine_gets_no_more_requests)
{
    estimator.record(0, 10, clock.now());
    BOOST_TEST(rate() == 1.0);
    clock.advance(milliseconds(2'500));
    BOOST_TEST(rate() == 0.0);
}

BOOST_AUTO_TEST_CASE(a_few_failures_do_not_raise_the_rate)
{
    estimator.record(0, 3, clock.now());
    BOOST_TEST(rate() == 0.0);
    estimator.record(20, 0, clock.now());
    BOOST_TEST(rate() < 0.15);
}

BOOST_AUTO_TEST_CASE(a_restart_clears_the_failures_unless_restarts_repeat)
{
    estimator.record(0, 20, clock.now());
    estimator.onEngineRestart(clock.now());
    BOOST_TEST(rate() == 0.0);
    clock.advance(milliseconds(1'400));
    estimator.record(0, 20, clock.now());
    estimator.onEngineRestart(clock.now());
    BOOST_TEST(rate() == 1.0);
    clock.advance(milliseconds(7'000));
    estimator.record(0, 20, clock.now());
    estimator.onEngineRestart(clock.now());
    BOOST_TEST(rate() == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
