#include <medlarrack/gateway/poll_schedule.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace std::chrono_literals;
using gateway::poll_schedule;

namespace {

constexpr std::chrono::milliseconds usualInterval{1'140};
constexpr core::monotonic_time start{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(poll_schedule_suite)

BOOST_AUTO_TEST_CASE(data_not_known_to_be_stale_is_polled_at_the_usual_interval)
{
    poll_schedule schedule;
    BOOST_TEST(!schedule.isExpedited());
    BOOST_TEST(schedule.nextDelay(usualInterval, start).count() == usualInterval.count());
}

BOOST_AUTO_TEST_CASE(stale_data_is_polled_early_once_and_then_at_the_usual_interval)
{
    poll_schedule schedule;
    schedule.expedite();
    BOOST_TEST(schedule.nextDelay(usualInterval, start).count() == 100);
    schedule.onPollStarted();
    BOOST_TEST(schedule.nextDelay(usualInterval, start + 100ms).count() == usualInterval.count());
}

BOOST_AUTO_TEST_CASE(repeated_reports_of_stale_data_cause_few_early_polls)
{
    // The data is reported stale in each millisecond for 3 s, as when several engines crash together.
    poll_schedule schedule;
    int polls = 0;
    auto due = start + usualInterval;
    for (auto now = start; now < start + 3s; now += 1ms) {
        if (!schedule.isExpedited()) {
            schedule.expedite();
            due = std::min(due, now + schedule.nextDelay(usualInterval, now));
        }
        if (now >= due) {
            ++polls;
            schedule.onPollStarted();
            due = now + usualInterval;
        }
    }
    // Four early polls, after 0.1, 0.3, 0.7 and 1.5 s, and one at the usual interval.
    BOOST_TEST(polls == 5);
}

BOOST_AUTO_TEST_CASE(the_early_delay_starts_anew_after_a_time_without_early_polls)
{
    poll_schedule schedule;
    for (int poll = 0; poll < 6; ++poll) {
        schedule.expedite();
        static_cast<void>(schedule.nextDelay(usualInterval, start));
        schedule.onPollStarted();
    }
    schedule.expedite();
    BOOST_TEST(schedule.nextDelay(usualInterval, start + 2s).count() == usualInterval.count());
    BOOST_TEST(schedule.nextDelay(usualInterval, start + 4s).count() == 100);
}

BOOST_AUTO_TEST_SUITE_END()
