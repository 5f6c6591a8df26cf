#include "replica_simulation.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <iostream>
#include <random>

using namespace medlarrack::idempotency;
using namespace medlarrack::idempotency::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t explorationSeed = 20'261'203;
constexpr int stepsPerWorld = 160;

// Short leases, so that replicas serve again soon after a fault and more keys run in each world.
settings shortLeases()
{
    settings options;
    options.listLease = 3s;
    options.removalWait = 3s;
    return options;
}

// Explores random worlds; gives the number of those in which a promise was broken, and counts the runs seen.
int brokenWorlds(const settings &options, bool opaqueKeys, int worlds, std::size_t &runs)
{
    std::mt19937 random(explorationSeed);
    int broken = 0;
    for (int world = 0; world < worlds; ++world) {
        replica_simulation replicas(options, opaqueKeys);
        replicas.settle();
        replicas.advance(40s);
        replicas.settle();
        for (int index = 0; index < stepsPerWorld; ++index) {
            const auto kind = static_cast<std::uint32_t>(random());
            replicas.step(kind, static_cast<std::uint32_t>(random()));
        }
        runs += replicas.totalRuns();
        broken += replicas.violations().empty() ? 0 : 1;
    }
    std::cout << "seed " << explorationSeed << ": " << worlds << " worlds, " << runs << " runs, " << broken
              << " broken\n";
    return broken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once, *boost::unit_test::label("faults"))

BOOST_AUTO_TEST_CASE(no_key_runs_twice_under_any_sequence_of_faults)
{
    const bool holds = rc::check([](const std::vector<std::pair<std::uint32_t, std::uint32_t>> &steps) {
        replica_simulation replicas(shortLeases());
        replicas.settle();
        replicas.advance(40s);
        replicas.settle();
        for (const auto &[kind, choice] : steps) {
            replicas.step(kind, choice);
        }
        RC_ASSERT(replicas.violations().empty());
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(no_key_runs_twice_in_long_explorations)
{
    std::size_t runs = 0;
    BOOST_TEST(brokenWorlds(shortLeases(), false, 20'000, runs) == 0);
    BOOST_TEST(runs > 5'000U);
}

BOOST_AUTO_TEST_CASE(no_key_without_birth_time_runs_twice_within_the_horizon)
{
    settings options = shortLeases();
    options.opaqueKeyResendWindow = 20s;
    std::size_t runs = 0;
    // Steps may let more than the horizon pass, so resends stay within it only when time moves little.
    std::mt19937 random(explorationSeed);
    int broken = 0;
    for (int world = 0; world < 4'000; ++world) {
        replica_simulation replicas(options, true);
        replicas.settle();
        replicas.advance(60s);
        replicas.settle();
        std::chrono::milliseconds left = 18s;
        for (int index = 0; index < stepsPerWorld; ++index) {
            auto kind = static_cast<std::uint32_t>(random());
            if (kind % 32 < 2) {
                const auto wait = std::min<std::chrono::milliseconds>(left, 1s);
                replicas.advance(wait);
                left -= wait;
                continue;
            }
            replicas.step(kind, static_cast<std::uint32_t>(random()));
        }
        runs += replicas.totalRuns();
        broken += replicas.violations().empty() ? 0 : 1;
    }
    BOOST_TEST(broken == 0);
    BOOST_TEST(runs > 1'000U);
}

BOOST_AUTO_TEST_CASE(the_exploration_catches_a_registry_that_does_not_wait_for_leases_to_end)
{
    settings weakened = shortLeases();
    weakened.removalWait = -40s;
    std::size_t runs = 0;
    BOOST_TEST(brokenWorlds(weakened, false, 20'000, runs) > 0);
}

BOOST_AUTO_TEST_CASE(the_exploration_catches_a_registry_that_trusts_young_replicas)
{
    settings weakened = shortLeases();
    weakened.clockSkewMargin = -1h;
    std::size_t runs = 0;
    BOOST_TEST(brokenWorlds(weakened, false, 20'000, runs) > 0);
}

BOOST_AUTO_TEST_CASE(the_exploration_catches_a_registry_without_a_list_lease)
{
    settings weakened = shortLeases();
    weakened.listLease = 24h;
    std::size_t runs = 0;
    BOOST_TEST(brokenWorlds(weakened, false, 20'000, runs) > 0);
}

BOOST_AUTO_TEST_SUITE_END()
