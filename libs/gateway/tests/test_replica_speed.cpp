#include <medlarrack/gateway/replica_speed.hpp>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace medlarrack;
using namespace medlarrack::gateway;
using std::chrono::milliseconds;

namespace {

struct fixture
{
    core::monotonic_time now{};
    replica_speed speed;

    double workMs(milliseconds prior = milliseconds(60)) const
    {
        return std::chrono::duration<double, std::milli>(speed.workTime(prior, now)).count();
    }

    /// Records answers of a replica that states the percentage; 0 states none.
    void answer(int times, int timeMs, std::uint32_t percent, double waitFactor = 1)
    {
        for (int index = 0; index < times; ++index) {
            now += milliseconds(50);
            speed.recordPercent(percent, now);
            speed.recordAnswer(milliseconds(timeMs), waitFactor, now);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(replica_speed_suite, fixture)

// Guards against a replica of which nothing is known that seems infinitely fast.
BOOST_AUTO_TEST_CASE(the_prior_applies_until_an_answer_is_there)
{
    BOOST_TEST(workMs() == 60, boost::test_tools::tolerance(0.01));
    BOOST_TEST(!speed.workTime(now).has_value());
    speed.recordPercent(400, now);
    BOOST_TEST(workMs() == 240, boost::test_tools::tolerance(0.01));
}

// Guards against requests that pile up at a replica whose work has begun to take four times as long, and against a
// recovered replica that stays unused.
BOOST_AUTO_TEST_CASE(a_factor_of_four_is_followed_within_a_few_answers_both_ways)
{
    for (const bool statesPercent : {true, false}) {
        speed.reset();
        const auto percent = [statesPercent](std::uint32_t value) {
            return statesPercent ? value : 0;
        };
        answer(20, 15, percent(100));
        BOOST_TEST(workMs() == 15, boost::test_tools::tolerance(0.02));
        answer(4, 60, percent(400));
        BOOST_TEST(workMs() > 45);
        answer(20, 60, percent(400));
        BOOST_TEST(workMs() == 60, boost::test_tools::tolerance(0.02));
        answer(4, 15, percent(100));
        BOOST_TEST(workMs() < 20);
    }
}

// Guards against a replica with a queue that seems slow beside being full.
BOOST_AUTO_TEST_CASE(time_spent_waiting_is_no_work)
{
    answer(20, 15, 100);
    answer(20, 45, 100, 3);
    BOOST_TEST(workMs() == 15, boost::test_tools::tolerance(0.02));
}

// Guards against a replica that is avoided for ever because of its last answer.
BOOST_AUTO_TEST_CASE(a_stated_slowdown_fades_without_news)
{
    answer(20, 60, 400);
    now += milliseconds(2'000);
    BOOST_TEST(speed.slowdown(now) == 4, boost::test_tools::tolerance(0.02));
    now += milliseconds(2'000);
    BOOST_TEST(speed.slowdown(now) == 2, boost::test_tools::tolerance(0.02));
    now += milliseconds(20'000);
    BOOST_TEST(workMs() < 16);
}

// Guards against a replica that a percentage of zero makes infinitely fast.
BOOST_AUTO_TEST_CASE(a_percentage_of_zero_says_nothing)
{
    answer(5, 15, 100);
    speed.recordPercent(0, now);
    BOOST_TEST(workMs() == 15, boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_SUITE_END()
