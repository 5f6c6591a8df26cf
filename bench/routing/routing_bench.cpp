#include "allocation_counter.hpp"

#include <medlarrack/routing/baseline_policies.hpp>
#include <medlarrack/routing/bounded_load_policy.hpp>
#include <medlarrack/routing/router.hpp>

#include <benchmark/benchmark.h>

#include <map>
#include <memory>
#include <random>
#include <tuple>

// Measures time and allocations per routing decision, and the time of an instance list update, for four fleet sizes.
namespace {

using namespace medlarrack;

constexpr core::monotonic_time start{std::chrono::hours(1)};
constexpr std::size_t slots = 8;
/// Attempts in progress per target.
constexpr std::size_t inFlightPerTarget = 4;

std::vector<instances::instance> makeTargets(std::size_t count)
{
    std::vector<instances::instance> result;
    for (std::size_t number = 0; number < count; ++number) {
        instances::instance item;
        item.id = "e-" + std::to_string(1'000'000 + number);
        item.group = "assistant";
        item.dataCentre = "dc-" + std::to_string(number % 22);
        result.push_back(item);
    }
    return result;
}

std::unique_ptr<routing::routing_policy> makePolicy(int kind)
{
    switch (kind) {
    case 0:
        return std::make_unique<routing::bounded_load_policy>();
    case 1:
        return std::make_unique<routing::random_policy>(1);
    case 2:
        return std::make_unique<routing::least_outstanding_policy>();
    default:
        return std::make_unique<routing::rendezvous_policy>();
    }
}

/// A sequence of adapter hashes with Zipf-distributed popularity, generated in advance so that the measured loop
/// doesn't include the random number generation.
std::vector<std::uint64_t> sampleAdapters(std::size_t adapters)
{
    constexpr std::size_t sampleCount = 1U << 18U;
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= adapters; ++rank) {
        weights.push_back(1.0 / static_cast<double>(rank));
    }
    std::mt19937_64 random(20261203);
    std::discrete_distribution<std::uint64_t> distribution(weights.begin(), weights.end());
    std::vector<std::uint64_t> result;
    for (std::size_t count = 0; count < sampleCount; ++count) {
        result.push_back(distribution(random) * 0x9e3779b97f4a7c15U + 1);
    }
    return result;
}

/// A router in steady state: targets have reported, attempts are in progress, and with the bounded load policy each
/// adapter has been routed once.
class steady_fleet
{
public:
    steady_fleet(int policy, std::size_t targets, std::size_t adapters)
        : m_router({.dataCentre = "dc-0"}, makePolicy(policy))
        , m_adapters(sampleAdapters(adapters))
        , m_listed(makeTargets(targets))
    {
        m_router.update(m_listed, 10, start);
        // Only bounded_load_policy keeps state per adapter.
        for (std::size_t adapter = 0; policy == 0 && adapter < adapters; ++adapter) {
            const routing::routing_request request = requestFor(adapter * 0x9e3779b97f4a7c15U + 1);
            const auto chosen = m_router.choose(request);
            m_router.onAttemptSent(chosen->target, request);
            m_router.onAttemptEnded(chosen->target, request, routing::attempt_result::answered);
        }
        for (std::size_t count = 0; count < targets * inFlightPerTarget; ++count) {
            step();
        }
        applyReports();
    }

    /// Makes a routing decision and records its attempt; ends the oldest attempt to keep their number constant.
    void step()
    {
        m_now += std::chrono::microseconds(100);
        const routing::routing_request request = requestFor(m_adapters[m_next++ % m_adapters.size()]);
        const auto chosen = m_router.choose(request);
        m_router.onAttemptSent(chosen->target, request);
        m_inFlight[m_attemptCount++ % m_inFlight.size()] = {chosen->target, request.adapter};
        if (m_attemptCount >= m_listed.size() * inFlightPerTarget) {
            const attempt &oldest =
                m_inFlight[(m_attemptCount - m_listed.size() * inFlightPerTarget) % m_inFlight.size()];
            m_router.onAttemptEnded(oldest.target, requestFor(oldest.adapter), routing::attempt_result::answered);
        }
    }

    /// Removes a target from the instance list and adds it again.
    void churn()
    {
        const auto removed = m_listed.back();
        m_listed.pop_back();
        m_router.update(m_listed, 10, m_now);
        m_listed.push_back(removed);
        m_router.update(m_listed, 10, m_now);
    }

private:
    struct attempt
    {
        routing::target_index target = 0;
        std::uint64_t adapter = 0;
    };

    [[nodiscard]] routing::routing_request requestFor(std::uint64_t adapter) const
    {
        routing::routing_request request;
        request.adapter = adapter;
        request.now = m_now;
        return request;
    }

    void applyReports()
    {
        std::uint64_t sequence = 0;
        for (const auto &item : m_listed) {
            routing::target_report report{1, ++sequence, 4, 0, 16, slots, {}};
            for (std::size_t slot = 0; slot < slots; ++slot) {
                report.adapters.push_back(m_adapters[(sequence * slots + slot) % m_adapters.size()]);
            }
            m_router.applyReport(item.id, std::move(report), m_now);
        }
    }

    routing::router m_router;
    const std::vector<std::uint64_t> m_adapters;
    std::vector<instances::instance> m_listed;
    core::monotonic_time m_now = start;
    std::size_t m_next = 0;
    std::size_t m_attemptCount = 0;
    std::vector<attempt> m_inFlight = std::vector<attempt>(1U << 18U);
};

/// The fleet of a benchmark, shared by its repetitions.
steady_fleet &fleetOf(int policy, const benchmark::State &state)
{
    using fleet_size = std::tuple<int, std::int64_t, std::int64_t>;
    static std::map<fleet_size, std::unique_ptr<steady_fleet>> fleets;
    auto &fleet = fleets[{policy, state.range(0), state.range(1)}];
    if (!fleet) {
        const auto targets = static_cast<std::size_t>(state.range(0));
        fleet = std::make_unique<steady_fleet>(policy, targets, static_cast<std::size_t>(state.range(1)));
    }
    return *fleet;
}

void decide(benchmark::State &state, int policy)
{
    steady_fleet &fleet = fleetOf(policy, state);
    const std::uint64_t before = allocationCount();
    while (state.KeepRunning()) {
        fleet.step();
    }
    state.counters["allocations"] =
        benchmark::Counter(static_cast<double>(allocationCount() - before), benchmark::Counter::kAvgIterations);
}

void change(benchmark::State &state)
{
    steady_fleet &fleet = fleetOf(0, state);
    while (state.KeepRunning()) {
        fleet.churn();
    }
}

void sizes(benchmark::internal::Benchmark *benchmark)
{
    benchmark->Args({18, 3'000})->Args({300, 10'000})->Args({2'000, 30'000})->Args({10'000, 70'000});
}

BENCHMARK_CAPTURE(decide, bounded_load, 0)->Apply(sizes);
BENCHMARK_CAPTURE(decide, random, 1)->Apply(sizes);
BENCHMARK_CAPTURE(decide, least_outstanding, 2)->Apply(sizes);
BENCHMARK_CAPTURE(decide, rendezvous, 3)->Apply(sizes);
BENCHMARK(change)->Apply(sizes)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
