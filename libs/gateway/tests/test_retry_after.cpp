#include "fleet_fixture.hpp"

#include <medlarrack/gateway/retry_after.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace medlarrack::gateway;

namespace {

struct fixture : medlarrack::gateway::testing::fleet_fixture
{
    long delayFor(refusal_cause cause, std::uint32_t random = 0)
    {
        return retryAfter(cause, table, "llm", clock.now(), random).count();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(retry_after, fixture)

BOOST_AUTO_TEST_CASE(callers_return_after_the_base_models_are_back)
{
    // All engines have restarted and take about a second to load their base model.
    addEngines(3);
    for (const auto &[id, engine] : table.all()) {
        engine->agent->models.clear();
    }
    BOOST_TEST(delayFor(refusal_cause::no_replica) >= 1'000);
    table.find("e0")->agent->models = {"m"};
    BOOST_TEST(delayFor(refusal_cause::no_replica) <= 500);
}

BOOST_AUTO_TEST_CASE(callers_return_later_the_longer_the_backlog_of_loads)
{
    addEngines(3);
    const long idle = delayFor(refusal_cause::adapter_backlog);
    for (const auto &[id, engine] : table.all()) {
        engine->agent->pendingLoads = 5;
    }
    const long busy = delayFor(refusal_cause::adapter_backlog);
    BOOST_TEST(busy > idle + 500);
    for (const auto &[id, engine] : table.all()) {
        engine->agent->pendingLoads = 500;
    }
    BOOST_TEST(delayFor(refusal_cause::adapter_backlog) <= 1'500);
}

BOOST_AUTO_TEST_CASE(callers_refused_together_return_spread)
{
    addEngines(3);
    std::set<long> times;
    for (std::uint32_t random = 0; random < 1'000; random += 7) {
        times.insert(delayFor(refusal_cause::rejected, random));
    }
    BOOST_TEST(times.size() > 50U);
    BOOST_TEST(*times.rbegin() - *times.begin() <= 100);
}

BOOST_AUTO_TEST_CASE(retries_are_spread_after_the_end_of_the_first_quiet_period)
{
    addEngines(3);
    using std::chrono::milliseconds;
    table.find("e0")->startQuietPeriod(milliseconds(2'000), clock.now());
    table.find("e1")->startQuietPeriod(milliseconds(900), clock.now());
    BOOST_TEST(!allAreQuiet(table, "llm", clock.now()));
    // A failed replica doesn't count as available.
    table.find("e2")->agent->engineUp = false;
    BOOST_TEST(allAreQuiet(table, "llm", clock.now()));
    std::set<long> times;
    for (std::uint32_t random = 0; random < 5'000; random += 50) {
        times.insert(delayFor(refusal_cause::quiet, random));
    }
    BOOST_TEST(*times.begin() == 900);
    BOOST_TEST(*times.rbegin() >= 1'800);
    BOOST_TEST(*times.rbegin() <= 1'900);
    clock.advance(milliseconds(900));
    BOOST_TEST(!allAreQuiet(table, "llm", clock.now()));
    BOOST_TEST(!allAreQuiet(table, "no such service", clock.now()));
}

BOOST_AUTO_TEST_SUITE_END()
