#include <medlarrack/gateway/call_pace.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace std::chrono_literals;
using gateway::call_pace;

namespace {

constexpr std::chrono::milliseconds usual{1'140};
constexpr core::monotonic_time start{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(call_pace_suite)

BOOST_AUTO_TEST_CASE(what_is_not_known_to_be_old_is_read_at_the_usual_pace)
{
    call_pace pace;
    BOOST_TEST(!pace.isHurried());
    BOOST_TEST(pace.pause(usual, start).count() == usual.count());
}

BOOST_AUTO_TEST_CASE(a_list_known_to_be_old_is_read_soon_and_then_at_the_usual_pace)
{
    call_pace pace;
    pace.hurry();
    BOOST_TEST(pace.pause(usual, start).count() == 100);
    pace.called();
    BOOST_TEST(pace.pause(usual, start + 100ms).count() == usual.count());
}

BOOST_AUTO_TEST_CASE(engines_that_crash_together_cost_few_further_reads)
{
    // For 3 s something shows in each millisecond that the list is old.
    call_pace pace;
    int calls = 0;
    auto due = start + usual;
    for (auto now = start; now < start + 3s; now += 1ms) {
        if (!pace.isHurried()) {
            pace.hurry();
            due = std::min(due, now + pace.pause(usual, now));
        }
        if (now >= due) {
            ++calls;
            pace.called();
            due = now + usual;
        }
    }
    // Four hurried ones, after 0.1, 0.3, 0.7 and 1.5 s, and one at the usual pace.
    BOOST_TEST(calls == 5);
}

BOOST_AUTO_TEST_CASE(a_list_that_is_old_again_later_is_read_soon_again)
{
    call_pace pace;
    for (int call = 0; call < 6; ++call) {
        pace.hurry();
        static_cast<void>(pace.pause(usual, start));
        pace.called();
    }
    pace.hurry();
    BOOST_TEST(pace.pause(usual, start + 2s).count() == usual.count());
    BOOST_TEST(pace.pause(usual, start + 4s).count() == 100);
}

BOOST_AUTO_TEST_SUITE_END()
