#include <medlarrack/quota/usage_ledger.hpp>

#include <boost/test/unit_test.hpp>

namespace medlarrack::quota {

namespace {

using std::chrono::milliseconds;
constexpr core::monotonic_time start{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(usage_ledger_tests)

// Guards against usage of one gateway that others don't hear of.
BOOST_AUTO_TEST_CASE(the_reports_of_all_gateways_are_added_up)
{
    usage_ledger ledger;
    BOOST_TEST(ledger.record("g1", {"t", {100, 50}, 30, 70}, 1, start).level == 20);
    const auto total = ledger.record("g2", {"t", {100, 50}, 40, 80}, 1, start);
    BOOST_TEST(total.level == -20);
    BOOST_TEST(total.askedPerSecond == 150);
    BOOST_TEST(ledger.totals(start + milliseconds(100)).front().level == -10);
}

// Guards against requested rates of gateways that have ended.
BOOST_AUTO_TEST_CASE(the_rate_of_a_silent_gateway_expires)
{
    usage_ledger ledger;
    ledger.record("g1", {"t", {100, 50}, 0, 70}, 1, start);
    const auto total = ledger.record("g2", {"t", {100, 50}, 0, 80}, 1, start + milliseconds(2'100));
    BOOST_TEST(total.askedPerSecond == 80);
}

// Guards against a lower quota that a gateway with an older state lifts again.
BOOST_AUTO_TEST_CASE(the_limits_of_the_newest_state_hold)
{
    usage_ledger ledger;
    ledger.record("g1", {"t", {10, 5}, 0, 0}, 7, start);
    const auto total = ledger.record("g2", {"t", {100, 50}, 0, 0}, 6, start + milliseconds(60'000));
    BOOST_TEST(total.level == 5);
}

// Guards against a tenant that is barred long after its overdraft.
BOOST_AUTO_TEST_CASE(an_overdraft_is_bounded)
{
    usage_ledger ledger;
    BOOST_TEST(ledger.record("g1", {"t", {100, 50}, 1e9, 0}, 1, start).level == -200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarrack::quota
