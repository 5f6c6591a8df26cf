#include <medlarrack/core/manual_clock.hpp>
#include <medlarrack/gateway/replica_health.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using gateway::replica_health;
using std::chrono::milliseconds;

namespace {

struct fixture
{
    core::manual_clock clock;
    replica_health health;

    void fail(int times)
    {
        for (int index = 0; index < times; ++index) {
            health.recordFailure(false, clock.now());
        }
    }

    bool mayServe(std::uint32_t outstanding = 0)
    {
        return health.mayServe(outstanding, clock.now());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(replica_health_suite, fixture)

BOOST_AUTO_TEST_CASE(failures_below_the_threshold_do_not_eject_a_replica)
{
    for (int round = 0; round < 10; ++round) {
        fail(3);
        BOOST_TEST(mayServe());
        health.recordSuccess(milliseconds(60));
    }
}

BOOST_AUTO_TEST_CASE(failures_in_a_row_take_a_replica_out_whatever_its_status_check_says)
{
    fail(4);
    BOOST_TEST(!mayServe());
}

BOOST_AUTO_TEST_CASE(an_unreachable_replica_is_ejected_at_once)
{
    health.recordFailure(true, clock.now());
    BOOST_TEST(!mayServe());
}

BOOST_AUTO_TEST_CASE(after_an_ejection_a_replica_gets_one_request_at_a_time_until_one_succeeds)
{
    fail(4);
    clock.advance(milliseconds(600));
    BOOST_TEST(mayServe(0));
    BOOST_TEST(!mayServe(1));
    health.recordSuccess(milliseconds(60));
    BOOST_TEST(mayServe(5));
}

BOOST_AUTO_TEST_CASE(each_failed_return_doubles_the_time_out_up_to_a_bound)
{
    fail(4);
    milliseconds last{0};
    for (int round = 0; round < 8; ++round) {
        milliseconds out{0};
        while (!mayServe()) {
            clock.advance(milliseconds(100));
            out += milliseconds(100);
        }
        BOOST_TEST(out.count() >= last.count());
        BOOST_TEST(out.count() <= 4'000);
        last = out;
        fail(1);
    }
    BOOST_TEST(last.count() == 4'000);
}

BOOST_AUTO_TEST_CASE(failures_of_requests_sent_earlier_do_not_extend_an_ejection)
{
    fail(40);
    clock.advance(milliseconds(600));
    BOOST_TEST(mayServe());
}

BOOST_AUTO_TEST_SUITE_END()
