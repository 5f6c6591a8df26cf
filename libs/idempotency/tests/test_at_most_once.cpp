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
constexpr int stepsPerSimulation = 160;

// Short leases, so that replicas recover sooner after a fault and more keys run in each simulation.
settings shortLeases()
{
    settings options;
    options.listLease = 3s;
    options.removalWait = 3s;
    return options;
}

// Performs simulations with random steps. Returns the number of those with violations and adds up their runs.
int countViolatingSimulations(const settings &options, bool opaqueKeys, int simulations, std::size_t &runs)
{
    std::mt19937 random(explorationSeed);
    int violating = 0;
    for (int simulation = 0; simulation < simulations; ++simulation) {
        replica_simulation replicas(options, opaqueKeys);
        replicas.settle();
        replicas.advance(40s);
        replicas.settle();
        for (int index = 0; index < stepsPerSimulation; ++index) {
            const auto kind = static_cast<std::uint32_t>(random());
            replicas.step(kind, static_cast<std::uint32_t>(random()));
        }
        runs += replicas.totalRuns();
        violating += replicas.violations().empty() ? 0 : 1;
    }
    std::cout << "seed " << explorationSeed << ": " << simulations << " simulations, " << runs << " runs, " << violating
              << " with violations\n";
    return violating;
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
    BOOST_TEST(countViolatingSimulations(shortLeases(), false, 20'000, runs) == 0);
    BOOST_TEST(runs > 5'000U);
}

BOOST_AUTO_TEST_CASE(no_opaque_key_runs_twice_within_its_resend_window)
{
    settings options = shortLeases();
    options.opaqueKeyResendWindow = 20s;
    std::size_t runs = 0;
    // Steps that advance the time are replaced by shorter ones, so that all resends are within the resend window.
    std::mt19937 random(explorationSeed);
    int violating = 0;
    for (int simulation = 0; simulation < 4'000; ++simulation) {
        replica_simulation replicas(options, true);
        replicas.settle();
        replicas.advance(60s);
        replicas.settle();
        std::chrono::milliseconds remaining = 18s;
        for (int index = 0; index < stepsPerSimulation; ++index) {
            auto kind = static_cast<std::uint32_t>(random());
            if (kind % 32 < 2) {
                const auto wait = std::min<std::chrono::milliseconds>(remaining, 1s);
                replicas.advance(wait);
                remaining -= wait;
                continue;
            }
            replicas.step(kind, static_cast<std::uint32_t>(random()));
        }
        runs += replicas.totalRuns();
        violating += replicas.violations().empty() ? 0 : 1;
    }
    BOOST_TEST(violating == 0);
    BOOST_TEST(runs > 1'000U);
}

BOOST_AUTO_TEST_CASE(the_exploration_catches_a_registry_that_does_not_wait_for_leases_to_end)
{
    settings weakened = shortLeases();
    weakened.removalWait = -40s;
    std::size_t runs = 0;
    BOOST_TEST(countViolatingSimulations(weakened, false, 20'000, runs) > 0);
}

BOOST_AUTO_TEST_CASE(the_exploration_catches_a_registry_that_trusts_replicas_younger_than_the_key)
{
    settings weakened = shortLeases();
    weakened.clockSkewMargin = -1h;
    std::size_t runs = 0;
    BOOST_TEST(countViolatingSimulations(weakened, false, 20'000, runs) > 0);
}

BOOST_AUTO_TEST_CASE(the_exploration_catches_a_registry_without_a_list_lease)
{
    settings weakened = shortLeases();
    weakened.listLease = 24h;
    std::size_t runs = 0;
    BOOST_TEST(countViolatingSimulations(weakened, false, 20'000, runs) > 0);
}

BOOST_AUTO_TEST_SUITE_END()
