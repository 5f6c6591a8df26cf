#include <medlarrack/core/manual_clock.hpp>
#include <medlarrack/gateway/replica_choice.hpp>

#include <benchmark/benchmark.h>

#include <cmath>
#include <random>
#include <string>
#include <vector>

// Time of a gateway's choice of an engine for one request, over sizes of the fleet.
namespace {

using namespace medlarrack;

constexpr std::uint32_t batchSize = 32;
/// Adapters that an engine holds; of the users' grown sites.
constexpr std::size_t adapterSlots = 15;
constexpr std::size_t dataCentres = 3;

/// Engines that hold adapters drawn by a popularity that falls with the rank.
class fleet
{
public:
    explicit fleet(std::size_t engines)
        : m_adapters(engines * adapterSlots)
    {
        for (std::size_t index = 0; index < engines; ++index) {
            addEngine(index);
        }
    }

    /// An adapter by its popularity.
    std::string draw()
    {
        const double uniform = std::uniform_real_distribution<>(0, 1)(m_random);
        const auto rank = static_cast<std::size_t>(std::pow(static_cast<double>(m_adapters), uniform)) - 1;
        return "a" + std::to_string(rank);
    }

    gateway::replica_choice choose(const std::string &adapter)
    {
        return gateway::chooseEngine(m_table, {"llm", "m", adapter, batchSize, 1, {}}, m_clock.now());
    }

private:
    void addEngine(std::size_t index)
    {
        catalog::replica_record record;
        record.id = "e" + std::to_string(index);
        record.service = "llm";
        record.address = "127.0.0.1";
        record.port = static_cast<std::uint16_t>(index + 1);
        record.dataCentre = "dc" + std::to_string(index % dataCentres + 1);
        record.slots = batchSize;
        record.sequence = 1;
        record.startedAtMs = 1;
        record.models = {"m"};
        m_table.take(record, m_clock.now());
        gateway::agent_status status{true, 1, {"m"}, {}, 0, 0, 0, m_clock.now()};
        for (std::size_t slot = 0; slot < adapterSlots; ++slot) {
            status.adapters[draw()] = 1;
        }
        m_table.find(record.id)->agent = status;
    }

    core::manual_clock m_clock;
    gateway::replica_table m_table{"dc1"};
    std::size_t m_adapters;
    std::mt19937_64 m_random{20261204};
};

void chooseEngine(benchmark::State &state)
{
    fleet engines(static_cast<std::size_t>(state.range(0)));
    std::vector<std::string> asked;
    for (int index = 0; index < 1'000; ++index) {
        asked.push_back(engines.draw());
    }
    std::size_t next = 0;
    for ([[maybe_unused]] auto step : state) {
        benchmark::DoNotOptimize(engines.choose(asked[next++ % asked.size()]));
    }
}
BENCHMARK(chooseEngine)->Arg(45)->Arg(300)->Arg(1'000)->Arg(3'000)->Arg(10'000)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
