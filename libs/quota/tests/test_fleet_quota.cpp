#include "fleet.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

// The load: a tenant that sends 4 to 7.5 times its usual, which is 1/1.8 of its quota, for some seconds, through
// gateways that each see a part of it.

namespace medlarrack::quota::testing {

namespace {

constexpr core::bucket_limits largeQuota{360'000, 360'000};
constexpr core::bucket_limits smallQuota{29'000, 29'000};
constexpr double usualPart = 1 / 1.8;
constexpr double hotFactor = 7.5;

/// What may run of a tenant in a window of 8 s, as users state it.
double boundFor(const core::bucket_limits &limits)
{
    constexpr double overage = 1.25;
    constexpr double slack = 110'000;
    return (limits.perSecond * fleet::windowSeconds + limits.burst) * overage + slack;
}

const auto fleetSizes = boost::unit_test::data::make({2, 24, 68});

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_quota)

// Guards against gateways that together admit more than the quota of a tenant that turns hot.
BOOST_DATA_TEST_CASE(a_hot_tenant_stays_within_its_quota, fleetSizes, gateways)
{
    for (const core::bucket_limits &limits : {largeQuota, smallQuota}) {
        fleet all(static_cast<std::size_t>(gateways), limits, 1);
        const double usual = limits.perSecond * usualPart;
        all.run(milliseconds(6'000), usual);
        all.resetCounts();
        all.run(milliseconds(7'000), usual * hotFactor);
        BOOST_TEST(all.mostInWindow() <= boundFor(limits));
        // It gets what it is allowed to use.
        BOOST_TEST(all.admitted >= 0.9 * 7 * limits.perSecond);
        all.run(milliseconds(3'000), usual);
        all.resetCounts();
        all.run(milliseconds(5'000), usual);
        BOOST_TEST(all.refused == 0U);
    }
}

// Guards against refusals below the quota, also of a tenant whose callers all reach one gateway, and as they move.
BOOST_DATA_TEST_CASE(nothing_is_refused_below_the_quota, fleetSizes, gateways)
{
    for (const core::bucket_limits &limits : {largeQuota, smallQuota}) {
        fleet all(static_cast<std::size_t>(gateways), limits, 2);
        all.onlyGateway = 0;
        all.run(milliseconds(1'000), limits.perSecond * usualPart * 0.3);
        all.resetCounts();
        all.run(milliseconds(8'000), limits.perSecond * usualPart);
        all.onlyGateway = all.gateways.size() - 1;
        all.run(milliseconds(8'000), limits.perSecond * usualPart);
        all.onlyGateway.reset();
        all.run(milliseconds(8'000), limits.perSecond * usualPart);
        BOOST_TEST(all.refused == 0U);
    }
}

// Guards against long prompts that are refused more often than short ones while a tenant exceeds its quota.
BOOST_DATA_TEST_CASE(requests_of_any_size_are_admitted_alike, fleetSizes, gateways)
{
    fleet all(static_cast<std::size_t>(gateways), largeQuota, 3);
    all.run(milliseconds(4'000), largeQuota.perSecond * usualPart);
    all.resetCounts();
    all.run(milliseconds(7'000), largeQuota.perSecond * 2);
    const auto servedShare = [&all](double cost) {
        return 1 - static_cast<double>(all.refusedByCost[cost]) / static_cast<double>(all.askedByCost[cost]);
    };
    BOOST_TEST(servedShare(9'240) >= 0.7 * servedShare(716));
    BOOST_TEST(servedShare(716) >= 0.7 * servedShare(9'240));
}

// Guards against a quota that is exceeded, or lost, when one or both agents that keep the bucket start anew or go.
BOOST_DATA_TEST_CASE(agents_that_end_neither_lift_nor_bar_the_quota, fleetSizes, gateways)
{
    fleet all(static_cast<std::size_t>(gateways), largeQuota, 4);
    const double usual = largeQuota.perSecond * usualPart;
    all.run(milliseconds(4'000), usual);
    all.run(milliseconds(2'000), usual * hotFactor);
    all.restartAgent(0);
    all.run(milliseconds(1'000), usual * hotFactor);
    all.loseAgent(1);
    all.run(milliseconds(2'000), usual * hotFactor);
    all.loseAgent(0);
    all.loseAgent(2);
    all.run(milliseconds(4'000), usual * hotFactor);
    BOOST_TEST(all.mostInWindow() <= boundFor(largeQuota));
    for (std::size_t index = 0; index < all.agents.size(); ++index) {
        all.restartAgent(index);
    }
    all.run(milliseconds(3'000), usual);
    all.resetCounts();
    all.run(milliseconds(4'000), usual);
    BOOST_TEST(all.refused == 0U);
}

// Guards against gateways that join, end, freeze or are cut off and use more than is left for them.
BOOST_DATA_TEST_CASE(gateways_that_come_and_go_stay_within_the_quota, fleetSizes, gateways)
{
    fleet all(static_cast<std::size_t>(gateways), largeQuota, 5);
    const double hot = largeQuota.perSecond * usualPart * hotFactor;
    all.run(milliseconds(4'000), hot / hotFactor);
    std::minstd_rand random(6);
    for (int round = 0; round < 30; ++round) {
        fleet::gateway &one = all.gateways[random() % all.gateways.size()];
        switch (random() % 4) {
        case 0:
            one.limiter = std::make_unique<tenant_limiter>();
            ++one.starts;
            break;
        case 1:
            one.frozen = !one.frozen;
            break;
        case 2:
            one.cutOff = !one.cutOff;
            break;
        default:
            one.running = !one.running;
            break;
        }
        all.run(milliseconds(400), hot);
    }
    BOOST_TEST(all.mostInWindow() <= boundFor(largeQuota));
}

// Guards against a quota that is exceeded after all gateways have started anew at once.
BOOST_DATA_TEST_CASE(a_start_of_all_gateways_stays_within_the_quota, fleetSizes, gateways)
{
    fleet all(static_cast<std::size_t>(gateways), largeQuota, 7);
    const double hot = largeQuota.perSecond * usualPart * hotFactor;
    all.run(milliseconds(5'000), hot);
    for (auto &one : all.gateways) {
        one.limiter = std::make_unique<tenant_limiter>();
        ++one.starts;
    }
    all.run(milliseconds(6'000), hot);
    BOOST_TEST(all.mostInWindow() <= boundFor(largeQuota));
}

// Guards against a lower quota that doesn't bind a window after the gateways have it.
BOOST_DATA_TEST_CASE(a_lower_quota_binds_within_a_window, fleetSizes, gateways)
{
    fleet all(static_cast<std::size_t>(gateways), largeQuota, 8);
    all.run(milliseconds(6'000), largeQuota.perSecond);
    all.limits = {largeQuota.perSecond / 4, largeQuota.burst / 4};
    ++all.stateVersion;
    all.run(milliseconds(8'000), largeQuota.perSecond);
    all.resetCounts();
    all.run(milliseconds(8'000), largeQuota.perSecond);
    BOOST_TEST(all.admitted <= boundFor(all.limits));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarrack::quota::testing
