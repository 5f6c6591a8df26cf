#include <medlarrack/core/idle_allowance.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace medlarrack::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds minMargin{1'000};

} // namespace

BOOST_AUTO_TEST_SUITE(idle_allowance_suite)

BOOST_AUTO_TEST_CASE(callers_are_told_less_than_the_idle_timeout)
{
    idle_allowance allowance(milliseconds(15'000));
    BOOST_TEST(allowance.announce(milliseconds(15'000)).count() == 12);
    allowance.onIdle(milliseconds(15'000));
    BOOST_TEST(allowance.timeout().count() == 15'000);
}

// Guards against a connection that is closed while its caller takes it to be open.
BOOST_DATA_TEST_CASE(a_connection_outlasts_what_its_caller_was_told,
                     boost::unit_test::data::make({1, 500, 1'000, 1'999, 2'000, 5'000, 15'000, 60'001}), idleTimeoutMs)
{
    const milliseconds idleTimeout(idleTimeoutMs);
    idle_allowance allowance(idleTimeout);
    const seconds told = allowance.announce(idleTimeout);
    allowance.onIdle(idleTimeout);
    BOOST_TEST(told.count() >= 1);
    BOOST_TEST((allowance.timeout() >= told + minMargin));
    BOOST_TEST((allowance.timeout() >= idleTimeout));
}

// Guards against a state with a shorter idle time that comes into force while a response is on its way.
BOOST_AUTO_TEST_CASE(a_shorter_idle_timeout_does_not_shorten_what_a_caller_was_told)
{
    idle_allowance allowance(milliseconds(15'000));
    const seconds told = allowance.announce(milliseconds(15'000));
    allowance.onIdle(milliseconds(2'000));
    BOOST_TEST((allowance.timeout() >= told + minMargin));
    BOOST_TEST(allowance.announce(milliseconds(2'000)).count() == 1);
    allowance.onIdle(milliseconds(2'000));
    BOOST_TEST(allowance.timeout().count() == 2'000);
}

BOOST_AUTO_TEST_CASE(a_longer_idle_timeout_holds_at_once)
{
    idle_allowance allowance(milliseconds(2'000));
    allowance.onStateChange(milliseconds(15'000));
    allowance.onStateChange(milliseconds(5'000));
    BOOST_TEST(allowance.timeout().count() == 15'000);
}

BOOST_AUTO_TEST_SUITE_END()
