#include "fleet_fixture.hpp"

#include <medlarrack/gateway/adapter_demand.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

using namespace medlarrack;
using namespace medlarrack::gateway;
using std::chrono::milliseconds;

namespace {

/// Engines with few adapter slots that share a weight store, and requests for adapters of Zipf-distributed popularity.
/// An engine loads an adapter again from its memory in a short time.
class fleet_simulation : public medlarrack::gateway::testing::fleet_fixture
{
public:
    static constexpr std::uint32_t batchSize = 12;
    static constexpr std::size_t slotsPerEngine = 9;
    static constexpr std::size_t engineCount = 24;
    static constexpr std::size_t storeCapacity = 24;
    static constexpr double storeLoadMs = 260;
    static constexpr double memoryLoadMs = 36;
    static constexpr milliseconds serviceTime{220};
    static constexpr milliseconds step{10};

    fleet_simulation()
    {
        addEngines(static_cast<int>(engineCount));
        for (const auto &[id, one] : table.all()) {
            one->agent->recentAdapters.setCapacity(54);
            m_engines[id];
        }
    }

    void run(milliseconds time, int requestsPerStep)
    {
        for (milliseconds end{0}; end < time; end += step) {
            clock.advance(step);
            finishRequests();
            progressLoads();
            for (int request = 0; request < requestsPerStep; ++request) {
                const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
                dispatch("m/a" + std::to_string(static_cast<int>(std::pow(1'200, draw))));
            }
        }
    }

    void crash(const std::string &id)
    {
        const replica_ptr engine = table.find(id);
        engine->agent->adapters.clear();
        engine->agent->recentAdapters = {};
        engine->agent->recentAdapters.setCapacity(54);
        m_engines[id].loads.clear();
        std::erase_if(m_running, [&](const running_request &one) {
            if (one.engine == engine) {
                --engine->outstanding;
                return true;
            }
            return false;
        });
        for (const auto &[adapter, count] : engine->requestsByAdapter) {
            engine->outstanding -= std::min(engine->outstanding, count);
        }
        engine->requestsByAdapter.clear();
        m_engines[id].inUse.clear();
    }

    std::size_t requests = 0;
    std::vector<milliseconds> waits;

private:
    struct load
    {
        std::string adapter;
        double remainingMs = 0;
        bool fromStore = false;
        bool started = false;
        std::vector<core::monotonic_time> waiting;
    };

    struct engine_state
    {
        std::deque<load> loads;
        std::map<std::string, int> inUse;
        std::map<std::string, core::monotonic_time> usedAt;
    };

    struct running_request
    {
        core::monotonic_time end{};
        replica_ptr engine;
        std::string adapter;
    };

    void dispatch(const std::string &adapter)
    {
        ++requests;
        const double demand = m_demand.recordRequest(adapter, clock.now());
        const replica_choice choice = chooseEngine(table, {"llm", "m", adapter, batchSize, demand, {}}, clock.now());
        if (choice.alsoLoadAt != nullptr) {
            requestLoad(choice.alsoLoadAt, adapter);
        }
        if (choice.target == nullptr) {
            return;
        }
        if (!choice.needsLoad) {
            start(choice.target, adapter, clock.now());
            return;
        }
        ++choice.target->outstanding;
        ++choice.target->requestsByAdapter[adapter];
        requestLoad(choice.target, adapter).waiting.push_back(clock.now());
    }

    load &requestLoad(const replica_ptr &engine, const std::string &adapter)
    {
        auto &loads = m_engines[engine->record.id].loads;
        const auto known = std::find_if(loads.begin(), loads.end(), [&](const load &one) {
            return one.adapter == adapter;
        });
        if (known != loads.end()) {
            return *known;
        }
        const bool inMemory = engine->agent->recentAdapters.contains(adapter);
        loads.push_back({adapter, inMemory ? memoryLoadMs : storeLoadMs, !inMemory, false, {}});
        return loads.back();
    }

    void start(const replica_ptr &engine, const std::string &adapter, core::monotonic_time askedAt)
    {
        waits.push_back(std::chrono::duration_cast<milliseconds>(clock.now() - askedAt));
        ++engine->outstanding;
        engine_state &state = m_engines[engine->record.id];
        ++state.inUse[adapter];
        state.usedAt[adapter] = clock.now();
        // Requests beyond the batch wait for those before them.
        const auto delay = engine->outstanding > batchSize ? serviceTime * 2 : serviceTime;
        m_running.push_back({clock.now() + delay, engine, adapter});
    }

    void finishRequests()
    {
        std::erase_if(m_running, [this](const running_request &one) {
            if (one.end > clock.now()) {
                return false;
            }
            --one.engine->outstanding;
            --m_engines[one.engine->record.id].inUse[one.adapter];
            return true;
        });
    }

    /// Unloads the adapter that was unused for longest. Returns false if all are in use.
    bool makeSlot(replica &engine, engine_state &state)
    {
        auto &held = engine.agent->adapters;
        if (held.size() < slotsPerEngine) {
            return true;
        }
        std::string oldest;
        for (const auto &[adapter, version] : held) {
            if (state.inUse[adapter] == 0 && (oldest.empty() || state.usedAt[adapter] < state.usedAt[oldest])) {
                oldest = adapter;
            }
        }
        if (oldest.empty()) {
            return false;
        }
        engine.agent->recentAdapters.add(oldest);
        held.erase(oldest);
        return true;
    }

    void progressLoads()
    {
        constexpr std::size_t loadsAtATime = 4;
        std::size_t inProgress = 0;
        for (const auto &[id, state] : m_engines) {
            inProgress +=
                static_cast<std::size_t>(std::count_if(state.loads.begin(), state.loads.end(), [](const load &one) {
                    return one.started && one.fromStore;
                }));
        }
        const double rate =
            std::min(1.0, static_cast<double>(storeCapacity) / std::max(1.0, static_cast<double>(inProgress)));
        for (auto &[id, state] : m_engines) {
            const replica_ptr engine = table.find(id);
            std::size_t started = 0;
            for (auto it = state.loads.begin(); it != state.loads.end();) {
                if (!it->started && (started >= loadsAtATime || !makeSlot(*engine, state))) {
                    ++it;
                    continue;
                }
                it->started = true;
                ++started;
                it->remainingMs -= step.count() * (it->fromStore ? rate : 1);
                if (it->remainingMs > 0) {
                    ++it;
                    continue;
                }
                engine->agent->adapters[it->adapter] = 1;
                engine->agent->recentAdapters.add(it->adapter);
                const load done = *it;
                it = state.loads.erase(it);
                engine->requestsByAdapter.erase(done.adapter);
                for (const core::monotonic_time askedAt : done.waiting) {
                    --engine->outstanding;
                    start(engine, done.adapter, askedAt);
                }
            }
            engine->agent->pendingLoads =
                static_cast<std::uint32_t>(state.loads.size() - std::min(started, state.loads.size()));
            engine->agent->availableSlots = started < loadsAtATime && engine->agent->pendingLoads == 0
                ? static_cast<std::uint32_t>(loadsAtATime - started)
                : 0;
            engine->agent->availableMemorySlots =
                static_cast<std::uint32_t>(loadsAtATime - std::min(started, loadsAtATime));
            engine->agent->storeLoadTime = milliseconds(static_cast<int>(storeLoadMs / rate));
            engine->agent->memoryLoadTime = milliseconds(static_cast<int>(memoryLoadMs));
        }
    }

    std::map<std::string, engine_state> m_engines;
    std::deque<running_request> m_running;
    adapter_demand m_demand;
    std::mt19937 m_random{20261204};
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_loads)

// Hundreds of engines share a weight store that carries about one load for each. When some of them come back empty
// beside a burst, the store is busy without a pause, and an adapter that is loaded a second time delays all others. The
// requests that begin soon are those for adapters that an engine has.
BOOST_AUTO_TEST_CASE(half_of_a_burst_begins_soon_while_the_store_is_busy_with_engines_that_came_back_empty)
{
    fleet_simulation fleet;
    fleet.run(milliseconds(4'000), 3);
    for (const char *id : {"e1", "e5", "e9", "e13", "e17", "e21"}) {
        fleet.crash(id);
    }
    fleet.requests = 0;
    fleet.waits.clear();
    fleet.run(milliseconds(6'000), 4);
    const auto soon =
        static_cast<std::size_t>(std::count_if(fleet.waits.begin(), fleet.waits.end(), [](milliseconds wait) {
            return wait <= milliseconds(500);
        }));
    BOOST_TEST(soon * 2 > fleet.requests);
}

BOOST_AUTO_TEST_SUITE_END()
