#include "agent_link_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace medlarrack::gateway;
using namespace medlarrack::gateway::testing;

BOOST_FIXTURE_TEST_SUITE(agent_links_suite, agent_link_fixture)

// Guards against a gateway that ends by itself as several messages follow the one that fills a link (review/6).
BOOST_AUTO_TEST_CASE(a_link_that_fills_up_within_a_round_of_updates_is_lost_after_it)
{
    connect();
    constexpr int adapterCount = 2'000;
    for (int round = 0; round < 2'000 && engine->agent; ++round) {
        // Each round has a small message first and a large one behind it.
        publishState();
        engine->requestsByAdapter.clear();
        for (int number = 0; number < adapterCount; ++number) {
            engine->requestsByAdapter["m/a" + std::to_string(number)] = round % 2 == 0 ? 1 : 100;
        }
        links.tick();
        context.poll();
    }
    BOOST_TEST(!engine->agent.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
