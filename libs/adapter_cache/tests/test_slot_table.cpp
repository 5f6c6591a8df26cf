#include <medlarrack/adapter_cache/lru_eviction.hpp>
#include <medlarrack/adapter_cache/rate_limited_load_budget.hpp>
#include <medlarrack/adapter_cache/slot_table.hpp>

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

using namespace medlarrack;
using namespace medlarrack::adapter_cache;
using namespace std::chrono_literals;

namespace {

constexpr core::monotonic_time start{};
constexpr std::uint64_t jitterSeed = 5;

core::adapter_ref adapter(const std::string &name, const std::string &version = "v1")
{
    return {"farm/" + name, version};
}

/// A table of two slots with a load budget that is never exhausted.
struct slot_fixture
{
    lru_eviction policy;
    rate_limited_load_budget budget{1000, 1000, 100, start};
    slot_table table{{.slots = 2}, policy, budget, jitterSeed};

    /// Calls plan() with one waiting request.
    std::vector<slot_order> planFor(std::uint64_t request, const core::adapter_ref &adapterRef,
                                    core::monotonic_time now)
    {
        const std::vector<waiting_request> waiting = {{adapterRef, request, now}};
        return table.plan(waiting, now);
    }

    /// Loads an adapter without leaving a pin on it.
    void load(const core::adapter_ref &adapterRef, core::monotonic_time now)
    {
        BOOST_REQUIRE(planFor(999, adapterRef, now).size() == 1U);
        BOOST_REQUIRE(table.loadEnded(adapterRef, load_result::loaded, now).empty());
        table.unpin(999, now);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(requests_for_one_adapter_share_one_load)
{
    slot_fixture fixture;
    const std::vector<waiting_request> waiting = {{adapter("a"), 1, start}, {adapter("a"), 2, start}};
    const auto orders = fixture.table.plan(waiting, start);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST((orders[0].type == slot_order::kind::load));
    BOOST_TEST(fixture.table.plan(waiting, start).empty());
    BOOST_TEST(!fixture.table.pin(2, adapter("a"), start));
    BOOST_TEST(fixture.table.loadEnded(adapter("a"), load_result::loaded, start + 250ms).empty());
    BOOST_TEST(fixture.table.pin(1, adapter("a"), start));
    BOOST_TEST(fixture.table.pin(2, adapter("a"), start));
    BOOST_TEST(fixture.table.pins(adapter("a")) == 2U);
}

BOOST_AUTO_TEST_CASE(versions_of_an_adapter_hold_slots_of_their_own)
{
    slot_fixture fixture;
    fixture.load(adapter("a", "v1"), start);
    BOOST_TEST(fixture.table.pin(1, adapter("a", "v1"), start));
    BOOST_TEST(!fixture.table.pin(2, adapter("a", "v2"), start));
    fixture.load(adapter("a", "v2"), start);
    BOOST_TEST(fixture.table.pins(adapter("a", "v1")) == 1U);
    BOOST_TEST(fixture.table.adapters().size() == 2U);
}

BOOST_AUTO_TEST_CASE(the_least_recently_used_adapter_without_pins_makes_room)
{
    slot_fixture fixture;
    fixture.load(adapter("a"), start);
    fixture.load(adapter("b"), start + 1ms);
    BOOST_TEST(fixture.table.pin(1, adapter("a"), start + 2ms));
    const auto orders = fixture.planFor(2, adapter("c"), start + 3ms);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST((orders[0].type == slot_order::kind::unload));
    BOOST_TEST(orders[0].adapter.toString() == "farm/b@v1");
    BOOST_TEST(fixture.planFor(2, adapter("c"), start + 4ms).empty());
    fixture.table.unloadEnded(adapter("b"), unload_result::unloaded, start + 5ms);
    const auto next = fixture.planFor(2, adapter("c"), start + 5ms);
    BOOST_REQUIRE(next.size() == 1U);
    BOOST_TEST((next[0].type == slot_order::kind::load));
}

BOOST_AUTO_TEST_CASE(pinned_adapters_stay_and_the_newcomer_waits)
{
    slot_fixture fixture;
    fixture.load(adapter("a"), start);
    fixture.load(adapter("b"), start);
    BOOST_TEST(fixture.table.pin(1, adapter("a"), start));
    BOOST_TEST(fixture.table.pin(2, adapter("b"), start));
    BOOST_TEST(fixture.planFor(3, adapter("c"), start).empty());
    BOOST_TEST(fixture.table.nextPlanTime().has_value());
    fixture.table.unpin(1, start);
    BOOST_TEST(fixture.planFor(3, adapter("c"), start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(after_a_long_wait_a_busy_adapter_takes_no_more_requests_but_finishes_its_own)
{
    slot_fixture fixture;
    fixture.load(adapter("a"), start);
    fixture.load(adapter("b"), start + 1ms);
    BOOST_TEST(fixture.table.pin(1, adapter("a"), start + 2ms));
    BOOST_TEST(fixture.table.pin(2, adapter("b"), start + 3ms));
    const std::vector<waiting_request> waiting = {{adapter("c"), 3, start}};
    BOOST_TEST(fixture.table.plan(waiting, start + 2s).empty());
    BOOST_TEST(!fixture.table.isReady(adapter("a")));
    BOOST_TEST(fixture.table.isReady(adapter("b")));
    BOOST_TEST(fixture.table.pins(adapter("a")) == 1U);
    BOOST_TEST(fixture.table.plan(waiting, start + 3s).empty());
    fixture.table.unpin(1, start + 4s);
    const auto orders = fixture.table.plan(waiting, start + 4s);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders[0].adapter.toString() == "farm/a@v1");
}

BOOST_AUTO_TEST_CASE(a_request_cancelled_during_the_load_leaves_the_adapter_loaded_and_free)
{
    slot_fixture fixture;
    BOOST_TEST(fixture.planFor(1, adapter("a"), start).size() == 1U);
    fixture.table.unpin(1, start);
    BOOST_TEST(fixture.table.loadEnded(adapter("a"), load_result::loaded, start).empty());
    BOOST_TEST(fixture.table.isReady(adapter("a")));
    BOOST_TEST(fixture.table.pins(adapter("a")) == 0U);
}

BOOST_AUTO_TEST_CASE(failed_loads_release_their_requests_and_back_off_longer_each_time)
{
    slot_fixture fixture;
    auto now = start;
    std::chrono::nanoseconds previous{0};
    for (int round = 0; round < 3; ++round) {
        BOOST_TEST(fixture.planFor(1, adapter("a"), now).size() == 1U);
        BOOST_TEST(fixture.table.loadEnded(adapter("a"), load_result::failed, now) == request_list{1},
                   boost::test_tools::per_element());
        const auto until = fixture.table.backoff(adapter("a"), now);
        BOOST_REQUIRE(until.has_value());
        BOOST_TEST((*until - now >= previous));
        previous = *until - now;
        BOOST_TEST(fixture.planFor(1, adapter("a"), now).empty());
        BOOST_TEST((fixture.table.nextPlanTime() == until));
        now = *until;
    }
    BOOST_TEST(fixture.planFor(1, adapter("a"), now).size() == 1U);
    BOOST_TEST(fixture.table.loadEnded(adapter("a"), load_result::loaded, now).empty());
    BOOST_TEST(!fixture.table.backoff(adapter("a"), now));
}

BOOST_AUTO_TEST_CASE(a_load_without_an_answer_is_unloaded_before_its_slot_serves_again)
{
    slot_fixture fixture;
    BOOST_TEST(fixture.planFor(1, adapter("a"), start).size() == 1U);
    BOOST_TEST(fixture.table.loadEnded(adapter("a"), load_result::unknown, start).size() == 1U);
    BOOST_TEST(!fixture.table.isReady(adapter("a")));
    const auto orders = fixture.table.plan({}, start);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST((orders[0].type == slot_order::kind::unload));
}

BOOST_AUTO_TEST_CASE(an_adapter_that_the_engine_still_uses_stays)
{
    slot_fixture fixture;
    fixture.load(adapter("a"), start);
    fixture.load(adapter("b"), start + 1ms);
    BOOST_TEST(fixture.planFor(1, adapter("c"), start + 2ms).size() == 1U);
    fixture.table.unloadEnded(adapter("a"), unload_result::in_use, start + 3ms);
    BOOST_TEST(fixture.table.isReady(adapter("a")));
    const auto orders = fixture.planFor(1, adapter("c"), start + 4ms);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders[0].adapter.toString() == "farm/b@v1");
}

BOOST_AUTO_TEST_CASE(an_unanswered_unload_is_ordered_again_later)
{
    slot_fixture fixture;
    fixture.load(adapter("a"), start);
    fixture.load(adapter("b"), start + 1ms);
    BOOST_TEST(fixture.planFor(1, adapter("c"), start + 2ms).size() == 1U);
    fixture.table.unloadEnded(adapter("a"), unload_result::unknown, start + 3ms);
    BOOST_TEST(!fixture.table.isReady(adapter("a")));
    BOOST_TEST(fixture.planFor(1, adapter("c"), start + 4ms).empty());
    const auto planTime = fixture.table.nextPlanTime();
    BOOST_REQUIRE(planTime.has_value());
    const auto orders = fixture.planFor(1, adapter("c"), *planTime);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders[0].adapter.toString() == "farm/a@v1");
}

BOOST_AUTO_TEST_CASE(a_restart_of_the_engine_empties_the_table_and_names_all_pins)
{
    slot_fixture fixture;
    fixture.load(adapter("a"), start);
    BOOST_TEST(fixture.table.pin(1, adapter("a"), start));
    BOOST_TEST(fixture.planFor(2, adapter("b"), start).size() == 1U);
    const request_list expected = {1, 2};
    BOOST_TEST(fixture.table.engineRestarted(start) == expected, boost::test_tools::per_element());
    BOOST_TEST(fixture.table.adapters().empty());
    // The answer to an order sent before the restart is ignored.
    BOOST_TEST(fixture.table.loadEnded(adapter("b"), load_result::loaded, start).empty());
    BOOST_TEST(!fixture.table.isReady(adapter("b")));
    fixture.table.unpin(1, start);
    BOOST_TEST(fixture.planFor(3, adapter("a"), start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_adapter_that_the_engine_lost_serves_no_new_request_and_keeps_its_pins)
{
    slot_fixture fixture;
    fixture.load(adapter("a"), start);
    BOOST_TEST(fixture.table.pin(1, adapter("a"), start));
    fixture.table.markNotLoaded(adapter("a"));
    BOOST_TEST(!fixture.table.pin(2, adapter("a"), start));
    BOOST_TEST(fixture.planFor(2, adapter("a"), start).empty());
    fixture.table.unpin(1, start);
    BOOST_TEST(fixture.planFor(2, adapter("a"), start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(no_adapter_is_evicted_while_the_budget_allows_no_load)
{
    lru_eviction policy;
    rate_limited_load_budget budget(1, 1, 1, start);
    slot_table table({.slots = 1}, policy, budget, jitterSeed);
    const std::vector<waiting_request> first = {{adapter("a"), 1, start}};
    BOOST_TEST(table.plan(first, start).size() == 1U);
    BOOST_TEST(table.loadEnded(adapter("a"), load_result::loaded, start).empty());
    table.unpin(1, start);
    const std::vector<waiting_request> second = {{adapter("b"), 2, start}};
    BOOST_TEST(table.plan(second, start).empty());
    BOOST_TEST(table.isReady(adapter("a")));
    BOOST_TEST((table.nextPlanTime() == start + 1s));
    BOOST_TEST(table.plan(second, start + 1s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(adapters_loaded_before_the_start_are_taken_over)
{
    slot_fixture fixture;
    const std::vector<core::adapter_ref> loaded = {adapter("a"), adapter("b"), adapter("c")};
    fixture.table.adopt(loaded, start);
    BOOST_TEST(fixture.table.pin(1, adapter("b"), start));
    // Three adapters in two slots: one that isn't pinned is unloaded.
    const auto orders = fixture.table.plan({}, start);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST((orders[0].type == slot_order::kind::unload));
    BOOST_TEST(orders[0].adapter.toString() != "farm/b@v1");
}

namespace {

/// Applies random events to a table and to a model of the engine.
class random_test
{
public:
    explicit random_test(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void steps(int count)
    {
        for (int i = 0; i < count; ++i) {
            step();
            checkInvariants();
        }
    }

private:
    core::adapter_ref randomAdapter()
    {
        return adapter(std::to_string(m_random() % 6), m_random() % 2 == 0 ? "v1" : "v2");
    }

    void step()
    {
        m_now += std::chrono::milliseconds(m_random() % 400);
        switch (m_random() % 8) {
        case 0:
        case 1:
            m_waiting.push_back({randomAdapter(), ++m_lastRequest, m_now});
            break;
        case 2:
        case 3:
            startRun();
            break;
        case 4:
            endRun();
            break;
        case 5:
            answerOrder();
            break;
        case 6:
            if (m_random() % 20 == 0) {
                restart();
            }
            break;
        default:
            if (!m_waiting.empty()) {
                m_table.unpin(m_waiting.front().requestId, m_now);
                m_waiting.erase(m_waiting.begin());
            }
            break;
        }
        for (const slot_order &order : m_table.plan(m_waiting, m_now)) {
            recordOrder(order);
        }
    }

    void recordOrder(const slot_order &order)
    {
        if (order.type == slot_order::kind::unload) {
            for (const auto &[request, running] : m_running) {
                BOOST_TEST((running != order.adapter), "a running request lost its adapter");
            }
        }
        m_orders.push_back(order);
    }

    void startRun()
    {
        for (auto request = m_waiting.begin(); request != m_waiting.end(); ++request) {
            if (m_table.pin(request->requestId, request->adapter, m_now)) {
                BOOST_TEST(m_loaded.contains(request->adapter), "a request ran on an adapter that isn't loaded");
                m_running.emplace(request->requestId, request->adapter);
                m_waiting.erase(request);
                return;
            }
        }
    }

    void endRun()
    {
        if (!m_running.empty()) {
            m_table.unpin(m_running.begin()->first, m_now);
            m_running.erase(m_running.begin());
        }
    }

    void answerOrder()
    {
        if (m_orders.empty()) {
            return;
        }
        const slot_order order = m_orders.front();
        m_orders.erase(m_orders.begin());
        if (order.type == slot_order::kind::load) {
            answerLoad(order.adapter, static_cast<load_result>(m_random() % 3));
        } else {
            answerUnload(order.adapter, static_cast<unload_result>(m_random() % 3));
        }
    }

    void answerLoad(const core::adapter_ref &adapterRef, load_result result)
    {
        if (result == load_result::loaded || (result == load_result::unknown && m_random() % 2 == 0)) {
            m_loaded.insert(adapterRef);
        }
        (void)m_table.loadEnded(adapterRef, result, m_now);
    }

    /// The engine reports only loaded adapters as in use.
    void answerUnload(const core::adapter_ref &adapterRef, unload_result result)
    {
        if (result == unload_result::in_use && !m_loaded.contains(adapterRef)) {
            result = unload_result::unloaded;
        }
        if (result == unload_result::unloaded || (result == unload_result::unknown && m_random() % 2 == 0)) {
            m_loaded.erase(adapterRef);
        }
        m_table.unloadEnded(adapterRef, result, m_now);
    }

    void restart()
    {
        (void)m_table.engineRestarted(m_now);
        m_running.clear();
        m_orders.clear();
        m_loaded.clear();
    }

    void checkInvariants()
    {
        std::map<core::adapter_ref, std::size_t> pins;
        for (const auto &[request, running] : m_running) {
            ++pins[running];
        }
        for (const auto &[running, count] : pins) {
            BOOST_TEST(m_table.pins(running) >= count);
        }
        BOOST_TEST(m_table.adapters().size() <= 3U);
    }

    std::mt19937_64 m_random;
    core::monotonic_time m_now{};
    lru_eviction m_policy;
    rate_limited_load_budget m_budget{3, 3, 2, start};
    slot_table m_table{{.slots = 3}, m_policy, m_budget, jitterSeed};
    std::vector<waiting_request> m_waiting;
    std::map<std::uint64_t, core::adapter_ref> m_running;
    std::vector<slot_order> m_orders;
    std::set<core::adapter_ref> m_loaded;
    std::uint64_t m_lastRequest = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(no_sequence_of_events_evicts_an_adapter_in_use)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            random_test test(seed);
            test.steps(1000);
        }
    }
}
