#include <medlarrack/http1/answer_pace.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack::http1;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::steady_clock::time_point start{1h};
constexpr answer_limits limits{.firstByte = 1'200ms, .silence = 900ms, .minBytesPerSecond = 1'000};

} // namespace

BOOST_AUTO_TEST_SUITE(answer_pace_suite)

BOOST_AUTO_TEST_CASE(the_first_byte_has_a_limit_of_its_own)
{
    const answer_pace pace(limits, start);
    BOOST_TEST((pace.deadline() == start + 1'200ms));
}

// Guards against answers that are given up by their length: those with a grown state took longer than allowed
// (review/9).
BOOST_AUTO_TEST_CASE(an_answer_that_keeps_coming_is_waited_for_however_long_it_is)
{
    answer_pace pace(limits, start);
    for (std::chrono::milliseconds at = 100ms; at < 1min; at += 100ms) {
        BOOST_REQUIRE((pace.deadline() > start + at));
        pace.onBytes(1'000, start + at);
    }
    BOOST_TEST((pace.transferTime() == 1min - 200ms));
}

BOOST_AUTO_TEST_CASE(an_answer_that_falls_silent_is_given_up)
{
    answer_pace pace(limits, start);
    pace.onBytes(1'000'000, start + 100ms);
    BOOST_TEST((pace.deadline() == start + 1s));
}

BOOST_AUTO_TEST_CASE(an_answer_that_drips_is_given_up)
{
    answer_pace pace(limits, start);
    std::chrono::milliseconds at = 500ms;
    for (; pace.deadline() > start + at; at += 500ms) {
        pace.onBytes(1, start + at);
    }
    BOOST_TEST((at < 2s));
}

BOOST_AUTO_TEST_CASE(one_limit_for_the_whole_answer_holds_for_those_that_keep_coming_too)
{
    answer_pace pace(answer_limits::wholeWithin(500ms), start);
    for (std::chrono::milliseconds at = 10ms; at < 500ms; at += 10ms) {
        pace.onBytes(1'000, start + at);
    }
    BOOST_TEST((pace.deadline() >= start + 500ms));
    BOOST_TEST((pace.deadline() < start + 501ms));
}

BOOST_AUTO_TEST_SUITE_END()
