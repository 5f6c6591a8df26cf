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

/// A table of two slots with a generous budget.
struct bed
{
    lru_eviction policy;
    rate_limited_load_budget budget{1000, 1000, 100, start};
    slot_table table{{.slots = 2}, policy, budget, jitterSeed};

    /// Plans for one waiting request.
    std::vector<slot_order> want(std::uint64_t request, const core::adapter_ref &which, core::monotonic_time now)
    {
        const std::vector<waiting_request> wanted = {{which, request, now}};
        return table.plan(wanted, now);
    }

    /// Loads an adapter and leaves it without a pin.
    void load(const core::adapter_ref &which, core::monotonic_time now)
    {
        BOOST_REQUIRE(want(999, which, now).size() == 1U);
        BOOST_REQUIRE(table.loadEnded(which, load_result::loaded, now).empty());
        table.unpin(999, now);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(requests_for_one_adapter_share_one_load)
{
    bed b;
    const std::vector<waiting_request> wanted = {{adapter("a"), 1, start}, {adapter("a"), 2, start}};
    const auto orders = b.table.plan(wanted, start);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST((orders[0].type == slot_order::kind::load));
    BOOST_TEST(b.table.plan(wanted, start).empty());
    BOOST_TEST(!b.table.pin(2, adapter("a"), start));
    BOOST_TEST(b.table.loadEnded(adapter("a"), load_result::loaded, start + 250ms).empty());
    BOOST_TEST(b.table.pin(1, adapter("a"), start));
    BOOST_TEST(b.table.pin(2, adapter("a"), start));
    BOOST_TEST(b.table.pins(adapter("a")) == 2U);
}

BOOST_AUTO_TEST_CASE(versions_of_an_adapter_hold_slots_of_their_own)
{
    bed b;
    b.load(adapter("a", "v1"), start);
    BOOST_TEST(b.table.pin(1, adapter("a", "v1"), start));
    BOOST_TEST(!b.table.pin(2, adapter("a", "v2"), start));
    b.load(adapter("a", "v2"), start);
    BOOST_TEST(b.table.pins(adapter("a", "v1")) == 1U);
    BOOST_TEST(b.table.adapters().size() == 2U);
}

BOOST_AUTO_TEST_CASE(the_least_recently_used_adapter_without_pins_makes_room)
{
    bed b;
    b.load(adapter("a"), start);
    b.load(adapter("b"), start + 1ms);
    BOOST_TEST(b.table.pin(1, adapter("a"), start + 2ms));
    const auto orders = b.want(2, adapter("c"), start + 3ms);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST((orders[0].type == slot_order::kind::unload));
    BOOST_TEST(orders[0].adapter.toString() == "farm/b@v1");
    BOOST_TEST(b.want(2, adapter("c"), start + 4ms).empty());
    b.table.unloadEnded(adapter("b"), unload_result::unloaded, start + 5ms);
    const auto next = b.want(2, adapter("c"), start + 5ms);
    BOOST_REQUIRE(next.size() == 1U);
    BOOST_TEST((next[0].type == slot_order::kind::load));
}

BOOST_AUTO_TEST_CASE(pinned_adapters_stay_and_the_newcomer_waits)
{
    bed b;
    b.load(adapter("a"), start);
    b.load(adapter("b"), start);
    BOOST_TEST(b.table.pin(1, adapter("a"), start));
    BOOST_TEST(b.table.pin(2, adapter("b"), start));
    BOOST_TEST(b.want(3, adapter("c"), start).empty());
    BOOST_TEST(b.table.nextChance().has_value());
    b.table.unpin(1, start);
    BOOST_TEST(b.want(3, adapter("c"), start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(after_a_long_wait_a_busy_adapter_takes_no_more_requests_but_finishes_its_own)
{
    bed b;
    b.load(adapter("a"), start);
    b.load(adapter("b"), start + 1ms);
    BOOST_TEST(b.table.pin(1, adapter("a"), start + 2ms));
    BOOST_TEST(b.table.pin(2, adapter("b"), start + 3ms));
    const std::vector<waiting_request> wanted = {{adapter("c"), 3, start}};
    BOOST_TEST(b.table.plan(wanted, start + 2s).empty());
    BOOST_TEST(!b.table.isReady(adapter("a")));
    BOOST_TEST(b.table.isReady(adapter("b")));
    BOOST_TEST(b.table.pins(adapter("a")) == 1U);
    BOOST_TEST(b.table.plan(wanted, start + 3s).empty());
    b.table.unpin(1, start + 4s);
    const auto orders = b.table.plan(wanted, start + 4s);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders[0].adapter.toString() == "farm/a@v1");
}

BOOST_AUTO_TEST_CASE(a_request_cancelled_during_the_load_leaves_the_adapter_loaded_and_free)
{
    bed b;
    BOOST_TEST(b.want(1, adapter("a"), start).size() == 1U);
    b.table.unpin(1, start);
    BOOST_TEST(b.table.loadEnded(adapter("a"), load_result::loaded, start).empty());
    BOOST_TEST(b.table.isReady(adapter("a")));
    BOOST_TEST(b.table.pins(adapter("a")) == 0U);
}

BOOST_AUTO_TEST_CASE(failed_loads_release_their_requests_and_back_off_longer_each_time)
{
    bed b;
    auto now = start;
    std::chrono::nanoseconds previous{0};
    for (int round = 0; round < 3; ++round) {
        BOOST_TEST(b.want(1, adapter("a"), now).size() == 1U);
        BOOST_TEST(b.table.loadEnded(adapter("a"), load_result::failed, now) == request_list{1},
                   boost::test_tools::per_element());
        const auto until = b.table.backoff(adapter("a"), now);
        BOOST_REQUIRE(until.has_value());
        BOOST_TEST((*until - now >= previous));
        previous = *until - now;
        BOOST_TEST(b.want(1, adapter("a"), now).empty());
        BOOST_TEST((b.table.nextChance() == until));
        now = *until;
    }
    BOOST_TEST(b.want(1, adapter("a"), now).size() == 1U);
    BOOST_TEST(b.table.loadEnded(adapter("a"), load_result::loaded, now).empty());
    BOOST_TEST(!b.table.backoff(adapter("a"), now));
}

BOOST_AUTO_TEST_CASE(a_load_without_an_answer_is_unloaded_before_its_slot_serves_again)
{
    bed b;
    BOOST_TEST(b.want(1, adapter("a"), start).size() == 1U);
    BOOST_TEST(b.table.loadEnded(adapter("a"), load_result::unknown, start).size() == 1U);
    BOOST_TEST(!b.table.isReady(adapter("a")));
    const auto orders = b.table.plan({}, start);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST((orders[0].type == slot_order::kind::unload));
}

BOOST_AUTO_TEST_CASE(an_adapter_that_the_engine_still_uses_stays)
{
    bed b;
    b.load(adapter("a"), start);
    b.load(adapter("b"), start + 1ms);
    BOOST_TEST(b.want(1, adapter("c"), start + 2ms).size() == 1U);
    b.table.unloadEnded(adapter("a"), unload_result::in_use, start + 3ms);
    BOOST_TEST(b.table.isReady(adapter("a")));
    const auto orders = b.want(1, adapter("c"), start + 4ms);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders[0].adapter.toString() == "farm/b@v1");
}

BOOST_AUTO_TEST_CASE(an_unanswered_unload_is_ordered_again_later)
{
    bed b;
    b.load(adapter("a"), start);
    b.load(adapter("b"), start + 1ms);
    BOOST_TEST(b.want(1, adapter("c"), start + 2ms).size() == 1U);
    b.table.unloadEnded(adapter("a"), unload_result::unknown, start + 3ms);
    BOOST_TEST(!b.table.isReady(adapter("a")));
    BOOST_TEST(b.want(1, adapter("c"), start + 4ms).empty());
    const auto chance = b.table.nextChance();
    BOOST_REQUIRE(chance.has_value());
    const auto orders = b.want(1, adapter("c"), *chance);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders[0].adapter.toString() == "farm/a@v1");
}

BOOST_AUTO_TEST_CASE(a_restart_of_the_engine_empties_the_table_and_names_all_pins)
{
    bed b;
    b.load(adapter("a"), start);
    BOOST_TEST(b.table.pin(1, adapter("a"), start));
    BOOST_TEST(b.want(2, adapter("b"), start).size() == 1U);
    const request_list expected = {1, 2};
    BOOST_TEST(b.table.engineRestarted(start) == expected, boost::test_tools::per_element());
    BOOST_TEST(b.table.adapters().empty());
    // The answer of the order given before the restart changes nothing.
    BOOST_TEST(b.table.loadEnded(adapter("b"), load_result::loaded, start).empty());
    BOOST_TEST(!b.table.isReady(adapter("b")));
    b.table.unpin(1, start);
    BOOST_TEST(b.want(3, adapter("a"), start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_adapter_that_the_engine_lost_serves_no_new_request_and_keeps_its_pins)
{
    bed b;
    b.load(adapter("a"), start);
    BOOST_TEST(b.table.pin(1, adapter("a"), start));
    b.table.markNotLoaded(adapter("a"));
    BOOST_TEST(!b.table.pin(2, adapter("a"), start));
    BOOST_TEST(b.want(2, adapter("a"), start).empty());
    b.table.unpin(1, start);
    BOOST_TEST(b.want(2, adapter("a"), start).size() == 1U);
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
    BOOST_TEST((table.nextChance() == start + 1s));
    BOOST_TEST(table.plan(second, start + 1s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(adapters_loaded_before_the_start_are_taken_over)
{
    bed b;
    const std::vector<core::adapter_ref> loaded = {adapter("a"), adapter("b"), adapter("c")};
    b.table.adopt(loaded, start);
    BOOST_TEST(b.table.pin(1, adapter("b"), start));
    // Three adapters in two slots: one leaves, never the pinned one.
    const auto orders = b.table.plan({}, start);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST((orders[0].type == slot_order::kind::unload));
    BOOST_TEST(orders[0].adapter.toString() != "farm/b@v1");
}

namespace {

/// Random events against a table, with a model of the engine beside it.
class random_run
{
public:
    explicit random_run(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void steps(int count)
    {
        for (int i = 0; i < count; ++i) {
            step();
            check();
        }
    }

private:
    core::adapter_ref anyAdapter()
    {
        return adapter(std::to_string(m_random() % 6), m_random() % 2 == 0 ? "v1" : "v2");
    }

    void step()
    {
        m_now += std::chrono::milliseconds(m_random() % 400);
        switch (m_random() % 8) {
        case 0:
        case 1:
            m_wanted.push_back({anyAdapter(), ++m_lastRequest, m_now});
            break;
        case 2:
        case 3:
            runFirst();
            break;
        case 4:
            endOne();
            break;
        case 5:
            answerOne();
            break;
        case 6:
            if (m_random() % 20 == 0) {
                restart();
            }
            break;
        default:
            if (!m_wanted.empty()) {
                m_table.unpin(m_wanted.front().requestId, m_now);
                m_wanted.erase(m_wanted.begin());
            }
            break;
        }
        for (const slot_order &order : m_table.plan(m_wanted, m_now)) {
            take(order);
        }
    }

    void take(const slot_order &order)
    {
        if (order.type == slot_order::kind::unload) {
            for (const auto &[request, running] : m_running) {
                BOOST_TEST((running != order.adapter), "a running request lost its adapter");
            }
        }
        m_orders.push_back(order);
    }

    void runFirst()
    {
        for (auto want = m_wanted.begin(); want != m_wanted.end(); ++want) {
            if (m_table.pin(want->requestId, want->adapter, m_now)) {
                BOOST_TEST(m_loaded.contains(want->adapter), "a request ran on an adapter that isn't loaded");
                m_running.emplace(want->requestId, want->adapter);
                m_wanted.erase(want);
                return;
            }
        }
    }

    void endOne()
    {
        if (!m_running.empty()) {
            m_table.unpin(m_running.begin()->first, m_now);
            m_running.erase(m_running.begin());
        }
    }

    void answerOne()
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

    void answerLoad(const core::adapter_ref &which, load_result end)
    {
        if (end == load_result::loaded || (end == load_result::unknown && m_random() % 2 == 0)) {
            m_loaded.insert(which);
        }
        (void)m_table.loadEnded(which, end, m_now);
    }

    /// The engine says "in use" only of an adapter that it has.
    void answerUnload(const core::adapter_ref &which, unload_result end)
    {
        if (end == unload_result::in_use && !m_loaded.contains(which)) {
            end = unload_result::unloaded;
        }
        if (end == unload_result::unloaded || (end == unload_result::unknown && m_random() % 2 == 0)) {
            m_loaded.erase(which);
        }
        m_table.unloadEnded(which, end, m_now);
    }

    void restart()
    {
        (void)m_table.engineRestarted(m_now);
        m_running.clear();
        m_orders.clear();
        m_loaded.clear();
    }

    void check()
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
    std::vector<waiting_request> m_wanted;
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
            random_run run(seed);
            run.steps(1000);
        }
    }
}
