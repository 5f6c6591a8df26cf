#include <medlarrack/daemon/signals.hpp>

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace medlarrack;

BOOST_AUTO_TEST_SUITE(signals_suite)

// Guards against a reload or a stop that ends a process which has just started.
BOOST_AUTO_TEST_CASE(signals_that_come_before_they_can_be_taken_are_taken_later)
{
    daemon::holdSignals();
    std::raise(SIGHUP);
    std::raise(SIGTERM);
    asio::io_context context(1);
    int reloads = 0;
    int stops = 0;
    const daemon::signals taken(
        context,
        [&] {
            ++stops;
        },
        [&] {
            ++reloads;
        });
    while (reloads + stops < 2) {
        context.run_one();
    }
    BOOST_TEST(reloads == 1);
    BOOST_TEST(stops == 1);
}

BOOST_AUTO_TEST_SUITE_END()
