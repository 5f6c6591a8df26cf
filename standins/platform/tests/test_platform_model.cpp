#include "change_log.hpp"
#include "instance_list.hpp"
#include "rate_limit.hpp"
#include "weight_store.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace medlarrack;
using namespace medlarrack::standins;
using namespace std::chrono_literals;

namespace {

constexpr core::monotonic_time start{1h};

} // namespace

BOOST_AUTO_TEST_CASE(changes_come_in_order_and_stop_at_a_stale_number)
{
    change_log log;
    for (int number : {2, 1, 3}) {
        BOOST_TEST(log.publish({{"ticket", number}}));
    }
    BOOST_TEST(!log.publish({{"ticket", 3}}));
    BOOST_TEST(!log.publish({{"number", 4}}));
    const auto shown = log.after(1, log.newest());
    BOOST_TEST(shown.at("newest") == 3);
    BOOST_TEST(shown.at("tickets").size() == 2U);
    BOOST_TEST(shown.at("tickets").front().at("ticket") == 2);
    const auto stale = log.after(1, 1);
    BOOST_TEST(stale.at("newest") == 1);
    BOOST_TEST(stale.at("tickets").empty());
    BOOST_TEST(!stale.at("more").get<bool>());
}

BOOST_AUTO_TEST_CASE(an_answer_has_at_most_a_megabyte)
{
    change_log log;
    for (int number = 1; number <= 3; ++number) {
        log.publish({{"ticket", number}, {"text", std::string(450'000, 'x')}});
    }
    const auto shown = log.after(0, log.newest());
    BOOST_TEST(shown.at("tickets").size() == 2U);
    BOOST_TEST(shown.at("more").get<bool>());
    BOOST_TEST(!log.after(2, log.newest()).at("more").get<bool>());
}

BOOST_AUTO_TEST_CASE(a_rate_holds_over_time)
{
    rate_limit limit;
    limit.setRate(5.5);
    int taken = 0;
    for (auto now = start; now < start + 10s; now += 10ms) {
        taken += limit.take(now) ? 1 : 0;
    }
    // The first second's worth, and 5.5 for each second.
    BOOST_TEST(taken >= 59);
    BOOST_TEST(taken <= 61);
}

BOOST_AUTO_TEST_CASE(loads_beyond_those_at_once_are_proportionally_slower)
{
    store_limits limits;
    limits.loadsPerS = 100;
    weight_store store;
    std::chrono::milliseconds time{0};
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST((store.start(limits, start, time) == weight_store::verdict::loads));
        BOOST_TEST(time.count() == 250);
    }
    for (int i = 3; i < 6; ++i) {
        BOOST_TEST((store.start(limits, start, time) == weight_store::verdict::loads));
    }
    BOOST_TEST(time.count() == 500);
    BOOST_TEST(store.inTransit() == 6);
    limits.loadsPerS = 1;
    weight_store slow;
    BOOST_TEST((slow.start(limits, start, time) == weight_store::verdict::loads));
    BOOST_TEST((slow.start(limits, start, time) == weight_store::verdict::refused));
}

BOOST_AUTO_TEST_CASE(the_list_of_instances_lags)
{
    instance_list list;
    const core::wall_time wall(1'000'000ms);
    BOOST_TEST(list.replace({1}, start));
    BOOST_TEST(list.replace({1, 2}, start + 2s));
    BOOST_TEST(!list.replace("none", start + 2s));
    BOOST_TEST(list.show(0ms, start + 3s, wall).at("instances").size() == 2U);
    const auto old = list.show(2s, start + 3s, wall);
    BOOST_TEST(old.at("instances").size() == 1U);
    BOOST_TEST(old.at("as_of_ms") == 998'000);
}
