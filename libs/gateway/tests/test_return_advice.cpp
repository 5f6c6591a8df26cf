#include "fleet_fixture.hpp"

#include <medlarrack/gateway/return_advice.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace medlarrack::gateway;

namespace {

struct fixture : medlarrack::gateway::testing::fleet_fixture
{
    long advice(refusal_cause cause, std::uint32_t random = 0)
    {
        return returnAfter(cause, table, "llm", random).count();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(return_advice, fixture)

BOOST_AUTO_TEST_CASE(callers_return_after_the_base_models_are_back)
{
    // The pattern: all engines were started anew and load their base model for about a second.
    addEngines(3);
    for (const auto &[id, one] : table.all()) {
        one->agent->models.clear();
    }
    BOOST_TEST(advice(refusal_cause::no_replica) >= 1'000);
    table.find("e0")->agent->models = {"m"};
    BOOST_TEST(advice(refusal_cause::no_replica) <= 500);
}

BOOST_AUTO_TEST_CASE(callers_return_later_the_longer_the_backlog_of_loads)
{
    addEngines(3);
    const long idle = advice(refusal_cause::adapter_backlog);
    for (const auto &[id, one] : table.all()) {
        one->agent->wanted = 5;
    }
    const long busy = advice(refusal_cause::adapter_backlog);
    BOOST_TEST(busy > idle + 500);
    for (const auto &[id, one] : table.all()) {
        one->agent->wanted = 500;
    }
    BOOST_TEST(advice(refusal_cause::adapter_backlog) <= 1'500);
}

BOOST_AUTO_TEST_CASE(callers_refused_together_return_spread)
{
    addEngines(3);
    std::set<long> times;
    for (std::uint32_t random = 0; random < 1'000; random += 7) {
        times.insert(advice(refusal_cause::rejected, random));
    }
    BOOST_TEST(times.size() > 50U);
    BOOST_TEST(*times.rbegin() - *times.begin() <= 100);
}

BOOST_AUTO_TEST_SUITE_END()
