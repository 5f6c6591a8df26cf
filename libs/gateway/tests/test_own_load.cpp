#include <medlarrack/gateway/own_load.hpp>

#include <boost/test/unit_test.hpp>

#include <array>
#include <set>

using namespace medlarrack;
using namespace medlarrack::gateway;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds interval{25};
constexpr std::uint64_t memoryBytes = 160'000'000;

struct fixture
{
    own_load load{{.cpuShare = 0.09, .linkMbps = 10, .memoryBytes = memoryBytes}};
    core::monotonic_time now{};
    own_use use;

    /// Ticks for a time, each late by `lag`, while the process uses shares of its processor time and link.
    void run(milliseconds time, milliseconds lag, double cpuUse = 1, double linkUse = 0.1)
    {
        const core::monotonic_time end = now + time;
        do {
            const milliseconds elapsed = interval + lag;
            const double seconds = std::chrono::duration<double>(elapsed).count();
            now += elapsed;
            use.cpuTime += std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9 * 0.09 * cpuUse));
            load.recordSent(static_cast<std::size_t>(seconds * 1'250'000 * linkUse));
            load.recordTick(now, interval, use);
        } while (now < end);
    }

    /// Requests refused of 300 of each of three urgencies.
    std::array<int, 3> refusedOf300()
    {
        std::array<int, 3> refused{};
        for (int request = 0; request < 900; ++request) {
            const auto urgency = static_cast<std::uint32_t>(request % 3);
            refused.at(urgency) += load.admits(urgency) ? 0 : 1;
        }
        return refused;
    }

    int closedOf80()
    {
        int closed = 0;
        for (int response = 0; response < 80; ++response) {
            closed += load.closesConnection() ? 1 : 0;
        }
        return closed;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(own_load_suite, fixture)

// Guards against requests refused by a small process that keeps up: one with 0.09 of a core waits up to 91 ms for its
// next share.
BOOST_AUTO_TEST_CASE(a_process_that_waits_for_its_processor_share_sheds_nothing)
{
    run(milliseconds(20'000), milliseconds(95));
    const std::array<int, 3> none{};
    BOOST_TEST(refusedOf300() == none, boost::test_tools::per_element());
    BOOST_TEST(closedOf80() == 0);
}

// Guards against requests refused after a process stood still for seconds.
BOOST_AUTO_TEST_CASE(a_pause_sheds_nothing)
{
    run(milliseconds(1'000), milliseconds(0));
    for (int pause = 0; pause < 5; ++pause) {
        run(milliseconds(0), milliseconds(4'000));
        BOOST_TEST(load.shedShare() == 0);
        run(milliseconds(100), milliseconds(0));
        BOOST_TEST(load.shedShare() == 0);
    }
}

// Guards against requests refused for a lack of processor time that other processes of the machine cause.
BOOST_AUTO_TEST_CASE(late_ticks_of_an_idle_process_shed_nothing)
{
    run(milliseconds(10'000), milliseconds(400), 0.1);
    BOOST_TEST(load.shedShare() == 0);
}

// Guards against urgent requests that are refused while less urgent ones are taken.
BOOST_AUTO_TEST_CASE(the_least_urgent_requests_are_shed_first)
{
    run(milliseconds(1'000), milliseconds(0));
    refusedOf300();
    run(milliseconds(1'000), milliseconds(300));
    BOOST_TEST(load.shedShare() > 0);
    BOOST_TEST(load.shedShare() < 0.34);
    const auto few = refusedOf300();
    BOOST_TEST(few[0] == 0);
    BOOST_TEST(few[1] == 0);
    BOOST_TEST(few[2] > 50);
    run(milliseconds(300), milliseconds(300));
    const auto more = refusedOf300();
    BOOST_TEST(more[0] == 0);
    BOOST_TEST(more[1] > 0);
    BOOST_TEST(more[2] > more[1]);
    run(milliseconds(20'000), milliseconds(300));
    const auto most = refusedOf300();
    BOOST_TEST(load.shedShare() == own_load::maxShedShare);
    BOOST_TEST(most[0] < 280);
}

// Guards against a single class of requests of which none is taken, so that the process never shows that it recovered.
BOOST_AUTO_TEST_CASE(some_requests_are_taken_whatever_the_load)
{
    run(milliseconds(30'000), milliseconds(1'000));
    int taken = 0;
    for (int request = 0; request < 200; ++request) {
        taken += load.admits(5) ? 1 : 0;
    }
    BOOST_TEST(taken >= 15);
    BOOST_TEST(taken <= 30);
}

// Guards against refusals long after the overload, and against shedding that ends and begins with every tick.
BOOST_AUTO_TEST_CASE(shedding_ends_gradually)
{
    run(milliseconds(3'000), milliseconds(300));
    const double most = load.shedShare();
    run(milliseconds(100), milliseconds(0));
    BOOST_TEST(load.shedShare() > most * 0.9);
    run(milliseconds(7'000), milliseconds(0));
    BOOST_TEST(load.shedShare() == 0);
    BOOST_TEST(load.admits(9));
}

// Guards against callers that all reconnect at once, and against callers that stay where there is no room.
BOOST_AUTO_TEST_CASE(some_responses_close_their_connections_near_a_limit)
{
    run(milliseconds(2'000), milliseconds(0));
    BOOST_TEST(closedOf80() == 0);
    run(milliseconds(2'000), milliseconds(0), 1, 0.97);
    BOOST_TEST(closedOf80() == 10);
    BOOST_TEST(load.shedShare() == 0);
    run(milliseconds(2'000), milliseconds(0));
    BOOST_TEST(closedOf80() == 0);
    use.memoryBytes = memoryBytes * 9 / 10;
    run(milliseconds(100), milliseconds(0));
    BOOST_TEST(closedOf80() == 10);
    use.memoryBytes = memoryBytes / 2;
    run(milliseconds(3'000), milliseconds(300));
    BOOST_TEST(closedOf80() == 10);
}

// Guards against a process without limits in its settings that takes itself for overloaded.
BOOST_AUTO_TEST_CASE(unknown_limits_are_no_limits)
{
    load = own_load({});
    use.memoryBytes = memoryBytes;
    run(milliseconds(2'000), milliseconds(0), 50, 50);
    BOOST_TEST(load.cpuUse() == 0);
    BOOST_TEST(load.linkUse() == 0);
    BOOST_TEST(closedOf80() == 0);
    run(milliseconds(3'000), milliseconds(300));
    BOOST_TEST(load.shedShare() > 0);
}

BOOST_AUTO_TEST_CASE(shed_callers_return_soon_and_spread)
{
    std::set<std::int64_t> times;
    for (std::uint32_t random = 0; random < 10'000; random += 7) {
        times.insert(own_load::retryAfter(random).count());
    }
    BOOST_TEST(*times.begin() >= 100);
    BOOST_TEST(*times.rbegin() <= 500);
    BOOST_TEST(times.size() > 300U);
}

// Guards against connections that stay open behind their responses and take all places.
BOOST_AUTO_TEST_CASE(responses_close_their_connections_while_a_quarter_of_the_places_is_not_free)
{
    constexpr std::size_t places = 1'000;
    load.recordConnections(749, places);
    BOOST_TEST(closedOf80() == 0);
    load.recordConnections(750, places);
    BOOST_TEST(closedOf80() == 80);
    load.recordConnections(749, places);
    BOOST_TEST(closedOf80() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
