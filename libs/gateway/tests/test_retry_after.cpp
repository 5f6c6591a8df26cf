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

// Guards against callers that return together, or before a queue at the replicas has been served.
BOOST_AUTO_TEST_CASE(callers_return_spread_when_the_shortest_queue_has_become_short)
{
    using std::chrono::milliseconds;
    for (const char *id : {"p0", "p1"}) {
        add(id, "dc1", "llm", 6)->recordSuccess(milliseconds(60), 0, clock.now());
    }
    BOOST_TEST(delayFor(refusal_cause::replicas_busy) == 200);
    // 60 and 120 wait at six slots of 60 ms: 600 and 1,200 ms.
    table.find("p0")->setReportedLoad(66, clock.now());
    table.find("p1")->setReportedLoad(126, clock.now());
    std::set<long> times;
    for (std::uint32_t value = 0; value < 1'000; value += 7) {
        times.insert(delayFor(refusal_cause::replicas_busy, value));
    }
    BOOST_TEST(*times.begin() == 300);
    BOOST_TEST(*times.rbegin() >= 440);
    BOOST_TEST(times.size() > 50U);
    table.find("p0")->setReportedLoad(100'000, clock.now());
    table.find("p1")->setReportedLoad(100'000, clock.now());
    BOOST_TEST(delayFor(refusal_cause::replicas_busy) == 2'000);
}

BOOST_AUTO_TEST_SUITE_END()
