#include "fleet_fixture.hpp"

#include <benchmark/benchmark.h>

#include <cmath>
#include <random>
#include <string>
#include <vector>

// Measures how long a gateway takes to choose an engine for one request, for several fleet sizes.
namespace {

using namespace medlarrack;

/// Adapters that an engine holds, as at the users' sites after their growth.
constexpr int adapterSlots = 15;

/// Engines that hold adapters drawn from a log-uniform popularity distribution.
class fleet
{
public:
    explicit fleet(int engines)
        : m_adapters(engines * adapterSlots)
    {
        m_fleet.addEngines(engines);
        for (const auto &[id, engine] : m_fleet.table.all()) {
            for (int slot = 0; slot < adapterSlots; ++slot) {
                engine->agent->adapters[draw()] = 1;
            }
        }
    }

    /// Draws an adapter by its popularity.
    std::string draw()
    {
        const double uniform = std::uniform_real_distribution<>(0, 1)(m_random);
        const auto rank = static_cast<std::size_t>(std::pow(m_adapters, uniform)) - 1;
        return "a" + std::to_string(rank);
    }

    gateway::replica_choice choose(const std::string &adapter)
    {
        return m_fleet.choose(adapter, 1);
    }

private:
    gateway::testing::fleet_fixture m_fleet;
    int m_adapters;
    std::mt19937_64 m_random{20261204};
};

void chooseEngine(benchmark::State &state)
{
    fleet engines(static_cast<int>(state.range(0)));
    std::vector<std::string> requested;
    for (int index = 0; index < 1'000; ++index) {
        requested.push_back(engines.draw());
    }
    std::size_t next = 0;
    for ([[maybe_unused]] auto step : state) {
        benchmark::DoNotOptimize(engines.choose(requested[next++ % requested.size()]));
    }
}
BENCHMARK(chooseEngine)->Arg(45)->Arg(300)->Arg(1'000)->Arg(3'000)->Arg(10'000)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
