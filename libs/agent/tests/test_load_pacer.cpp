#include <medlarrack/agent/load_pacer.hpp>
#include <medlarrack/core/manual_clock.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <list>
#include <numeric>
#include <random>
#include <vector>

using namespace medlarrack;
using namespace medlarrack::agent;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

/// A weight store that many engines load from: up to its capacity every load takes the idle time, beyond it all loads
/// share the capacity.
struct shared_store
{
    std::size_t capacity = 8;
    milliseconds idleTime{250};
};

/// Engines with one pacer each; an engine with a backlog always has another adapter to load.
class store_simulation
{
public:
    store_simulation(shared_store store, std::size_t engines, std::size_t engineLimit = 4)
        : loadsByEngine(engines)
        , m_store(store)
        , m_engineLimit(engineLimit)
    {
        constexpr std::uint32_t firstSeed = 20261204;
        for (std::uint32_t index = 0; index < engines; ++index) {
            m_engines.emplace_back(firstSeed + index);
        }
    }

    void run(milliseconds time, std::size_t enginesWithBacklog)
    {
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            step(enginesWithBacklog);
        }
    }

    void clearResults()
    {
        loadTimes.clear();
        std::fill(loadsByEngine.begin(), loadsByEngine.end(), 0U);
    }

    [[nodiscard]] double meanLoadTimeFactor() const
    {
        const auto sum = std::accumulate(loadTimes.begin(), loadTimes.end(), nanoseconds(0));
        return loadTimes.empty() ? 0
                                 : std::chrono::duration<double>(sum) / std::chrono::duration<double>(m_store.idleTime)
                / static_cast<double>(loadTimes.size());
    }

    /// Loads completed in a time, as a share of those that an ideal schedule completes.
    [[nodiscard]] double usedShare(milliseconds time, std::size_t enginesWithBacklog) const
    {
        const std::size_t concurrent = std::min(m_store.capacity, enginesWithBacklog * m_engineLimit);
        const double ideal = static_cast<double>(concurrent) * std::chrono::duration<double>(time)
            / std::chrono::duration<double>(m_store.idleTime);
        return static_cast<double>(loadTimes.size()) / ideal;
    }

    void setStore(shared_store store)
    {
        m_store = store;
    }

    core::manual_clock clock;
    std::vector<nanoseconds> loadTimes;
    std::vector<std::size_t> loadsByEngine;

private:
    struct load
    {
        core::monotonic_time startedAt{};
        double remainingMs = 0;
    };

    struct engine
    {
        explicit engine(std::uint32_t seed)
            : pacer(seed)
        {
        }

        load_pacer pacer;
        std::list<load> loads;
    };

    void step(std::size_t enginesWithBacklog)
    {
        constexpr milliseconds stepTime{5};
        std::size_t inProgress = 0;
        for (std::size_t index = 0; index < m_engines.size(); ++index) {
            engine &one = m_engines[index];
            while (index < enginesWithBacklog && one.loads.size() < m_engineLimit
                   && one.pacer.mayStart(one.loads.size(), clock.now())) {
                one.loads.push_back({clock.now(), static_cast<double>(m_store.idleTime.count())});
            }
            inProgress += one.loads.size();
        }
        const double rate = inProgress <= m_store.capacity
            ? 1
            : static_cast<double>(m_store.capacity) / static_cast<double>(inProgress);
        clock.advance(stepTime);
        for (std::size_t index = 0; index < m_engines.size(); ++index) {
            engine &one = m_engines[index];
            for (auto it = one.loads.begin(); it != one.loads.end();) {
                it->remainingMs -= rate * stepTime.count();
                if (it->remainingMs > 0) {
                    ++it;
                    continue;
                }
                loadTimes.push_back(clock.now() - it->startedAt);
                ++loadsByEngine[index];
                one.pacer.recordLoad(it->startedAt, clock.now());
                it = one.loads.erase(it);
            }
        }
    }

    shared_store m_store;
    std::size_t m_engineLimit;
    std::vector<engine> m_engines;
};

/// Time after which the pacers have adapted: some loads, with the pauses between them.
milliseconds settlingTime(const shared_store &store)
{
    return store.idleTime * 40;
}

/// A request waits for its adapter for about a second, so a store that would be faster when idle need not be.
constexpr milliseconds acceptableLoadTime{700};

} // namespace

BOOST_AUTO_TEST_SUITE(load_pacer_suite)

BOOST_AUTO_TEST_CASE(an_engine_alone_loads_as_many_adapters_at_a_time_as_it_can)
{
    store_simulation fleet({24, milliseconds(250)}, 18);
    fleet.run(milliseconds(5'000), 1);
    fleet.clearResults();
    fleet.run(milliseconds(5'000), 1);
    BOOST_TEST(fleet.usedShare(milliseconds(5'000), 1) > 0.9);
    BOOST_TEST(fleet.meanLoadTimeFactor() < 1.1);
}

// After a loss of power all engines are empty and load at once. With a fixed number of loads each, a load takes as many
// times longer as the engines exceed the store's capacity, and none arrives in time for its requests.
BOOST_AUTO_TEST_CASE(loads_of_many_empty_engines_stay_short_from_the_start)
{
    store_simulation fleet({8, milliseconds(250)}, 18);
    fleet.run(milliseconds(1'000), 18);
    BOOST_TEST(fleet.meanLoadTimeFactor() < 2.3);
    fleet.run(milliseconds(3'000), 18);
    fleet.clearResults();
    fleet.run(milliseconds(5'000), 18);
    BOOST_TEST(fleet.meanLoadTimeFactor() < 1.6);
    BOOST_TEST(fleet.usedShare(milliseconds(5'000), 18) > 0.85);
}

BOOST_AUTO_TEST_CASE(engines_share_the_store_evenly)
{
    store_simulation fleet({8, milliseconds(250)}, 18);
    fleet.run(milliseconds(20'000), 18);
    fleet.clearResults();
    fleet.run(milliseconds(60'000), 18);
    const auto [least, most] = std::minmax_element(fleet.loadsByEngine.begin(), fleet.loadsByEngine.end());
    BOOST_TEST(*least > 0U);
    BOOST_TEST(*most <= 3 * *least);
}

// Deployments of 2 to 300 engines, stores of 1 to 100 loads at a time, load times over a factor of 20.
BOOST_AUTO_TEST_CASE(a_store_of_any_capacity_is_used_and_not_congested)
{
    constexpr std::uint32_t seed = 20261204;
    std::mt19937 random(seed);
    for (int draw = 0; draw < 30; ++draw) {
        const std::size_t engines = std::uniform_int_distribution<std::size_t>(2, 300)(random);
        const std::size_t capacity = std::uniform_int_distribution<std::size_t>(std::max<std::size_t>(1, engines / 6),
                                                                                100 + engines / 6)(random);
        const milliseconds idleTime(
            static_cast<int>(60 * std::exp(std::uniform_real_distribution<double>(0, std::log(20))(random))));
        BOOST_TEST_CONTEXT("draw " << draw << " of seed " << seed << ": " << engines << " engines, " << capacity
                                   << " loads of " << idleTime.count() << " ms")
        {
            shared_store store{capacity, idleTime};
            store_simulation fleet(store, engines);
            fleet.run(settlingTime(store), engines);
            fleet.clearResults();
            const milliseconds time = idleTime * 40;
            fleet.run(time, engines);
            BOOST_TEST(fleet.usedShare(time, engines) > 0.8);
            BOOST_TEST((fleet.meanLoadTimeFactor() < 2 || fleet.meanLoadTimeFactor() * idleTime < acceptableLoadTime));
        }
    }
}

// Loads that take longer for another reason than congestion must not stop the engines.
BOOST_AUTO_TEST_CASE(a_store_that_became_slower_is_used_in_part_and_fully_again_in_the_end)
{
    constexpr std::size_t engines = 18;
    store_simulation fleet({18, milliseconds(250)}, engines);
    fleet.run(milliseconds(10'000), engines);
    fleet.setStore({18, milliseconds(1'000)});
    fleet.run(milliseconds(10'000), engines);
    fleet.clearResults();
    fleet.run(milliseconds(20'000), engines);
    BOOST_TEST(fleet.usedShare(milliseconds(20'000), engines) > 0.1);
    fleet.run(milliseconds(600'000), engines);
    fleet.clearResults();
    fleet.run(milliseconds(20'000), engines);
    BOOST_TEST(fleet.usedShare(milliseconds(20'000), engines) > 0.8);
    fleet.setStore({18, milliseconds(250)});
    fleet.run(milliseconds(60'000), engines);
    fleet.clearResults();
    fleet.run(milliseconds(20'000), engines);
    BOOST_TEST(fleet.usedShare(milliseconds(20'000), engines) > 0.8);
    BOOST_TEST(fleet.meanLoadTimeFactor() < 2);
}

// The answer to an order may come when its load is nearly complete.
BOOST_AUTO_TEST_CASE(one_load_that_looks_too_short_does_not_make_the_others_look_slow)
{
    core::manual_clock clock;
    load_pacer pacer(1);
    for (int load = 0; load < 200; ++load) {
        const auto startedAt = clock.now();
        clock.advance(milliseconds(load == 20 ? 130 : 258));
        pacer.recordLoad(startedAt, clock.now());
    }
    BOOST_TEST(std::chrono::round<milliseconds>(pacer.idleLoadTime()).count() == 258);
    BOOST_TEST(pacer.limit() == 4);
}

BOOST_AUTO_TEST_CASE(the_expected_time_returns_to_that_of_an_idle_store)
{
    core::manual_clock clock;
    load_pacer pacer(1);
    for (int load = 0; load < 20; ++load) {
        const auto startedAt = clock.now();
        clock.advance(milliseconds(load < 2 ? 250 : 2'500));
        pacer.recordLoad(startedAt, clock.now());
    }
    BOOST_TEST(std::chrono::round<milliseconds>(pacer.loadTime(clock.now())).count() > 2'000);
    BOOST_TEST(std::chrono::round<milliseconds>(pacer.idleLoadTime()).count() == 250);
    clock.advance(milliseconds(15'000));
    BOOST_TEST(std::chrono::round<milliseconds>(pacer.loadTime(clock.now())).count() < 300);
    BOOST_TEST(pacer.mayStart(0, clock.now()));
}

BOOST_AUTO_TEST_SUITE_END()
