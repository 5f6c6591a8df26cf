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

// Guards against traffic that grows with all adapters whenever the version of one is published (review/6).
BOOST_AUTO_TEST_CASE(an_agent_is_told_only_of_versions_that_are_newer_than_those_its_engine_holds)
{
    for (int number = 0; number < 10'000; ++number) {
        replicas.updateVersion("m/a" + std::to_string(number), 1);
    }
    connect({{"m/a0", 1}, {"m/a1", 1}});
    links.tick();
    replicas.updateVersion("m/a1", 2);
    replicas.updateVersion("m/a2", 2);
    links.tick();
    BOOST_REQUIRE(readUntil([this] {
        return !agent->receivedOf<agent_protocol::adapter_releases>().empty();
    }));
    BOOST_TEST((agent->receivedOf<agent_protocol::adapter_releases>().front().versions
                == catalog::adapter_versions{{"m/a1", 2}}));
    BOOST_TEST(agent->receivedBytes < 1'000U);
}

BOOST_AUTO_TEST_CASE(an_agent_is_told_once_of_a_version_that_was_published_before_its_engine_loaded_an_older_one)
{
    connect();
    replicas.updateVersion("m/a1", 2);
    links.tick();
    agent->send(agent_protocol::engine_change{.loaded = {{"m/a1", 1}}, .unloaded = {}, .load = {}});
    BOOST_REQUIRE(waitFor([this] {
        return engine->agent->adapters.contains("m/a1");
    }));
    links.tick();
    replicas.updateVersion("m/a2", 2);
    links.tick();
    publishState();
    links.tick();
    BOOST_REQUIRE(readUntil([this] {
        return agent->receivedOf<agent_protocol::service_config>().size() == 2;
    }));
    const auto releases = agent->receivedOf<agent_protocol::adapter_releases>();
    BOOST_REQUIRE(releases.size() == 1U);
    BOOST_TEST((releases.front().versions == catalog::adapter_versions{{"m/a1", 2}}));
}

// Guards against a link that is lost each time that it is made, as all crashes that are known fill it (review/6).
BOOST_AUTO_TEST_CASE(all_known_crashes_reach_an_agent_that_has_just_connected)
{
    constexpr std::uint64_t fingerprints = 4'096;
    constexpr std::uint64_t crashes = 32;
    core::crash_news known;
    for (std::uint64_t fingerprint = 1; fingerprint <= fingerprints; ++fingerprint) {
        for (std::uint64_t target = 1; target <= crashes; ++target) {
            known.crashes.push_back({fingerprint, target, std::chrono::seconds(10 * target), {}, false});
        }
    }
    crashDetector.merge(known, clock.now());
    connect();
    links.tick();
    std::size_t received = 0;
    BOOST_TEST(readUntil([&] {
        received = 0;
        for (const auto &report : agent->receivedOf<agent_protocol::crash_report>()) {
            received += report.news.crashes.size();
        }
        return received == fingerprints * crashes || agent->hasEnded;
    }));
    BOOST_TEST(received == fingerprints * crashes);
    BOOST_TEST(engine->agent.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
