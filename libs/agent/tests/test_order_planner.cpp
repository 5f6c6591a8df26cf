#include <medlarrack/agent/fencing_token_source.hpp>
#include <medlarrack/agent/order_planner.hpp>
#include <medlarrack/core/manual_clock.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace medlarrack::agent;
using std::chrono::milliseconds;

namespace {

/// An engine that does what it is told at once, or after a while.
struct engine_world
{
    core::manual_clock clock;
    order_planner keeper;
    engine_report engine;
    std::vector<engine_order> orders;
    std::size_t mostHeld = 0;

    explicit engine_world(std::uint32_t slots = 3)
    {
        engine.startedAtMs = 1;
        engine.models = {"m"};
        keeper.setLimits({{"m"}, slots});
        report();
    }

    void report()
    {
        keeper.reported(engine, clock.now());
    }

    void pass(milliseconds time)
    {
        clock.advance(time);
        report();
    }

    std::optional<engine_order> next()
    {
        auto order = keeper.nextOrder(clock.now());
        if (order) {
            orders.push_back(*order);
        }
        return order;
    }

    /// Gives orders until there are none, and carries them out.
    void work()
    {
        while (const auto order = next()) {
            if (order->operation == engine_order::operation_type::unload) {
                engine.adapters.erase(order->adapter);
                keeper.ordered(*order, order_result::done, clock.now());
            } else {
                engine.loading[order->adapter] = std::max<std::uint64_t>(order->version, 1);
                keeper.ordered(*order, order_result::accepted, clock.now());
            }
            mostHeld = std::max(mostHeld, engine.adapters.size() + engine.loading.size());
            report();
        }
    }

    void finishLoads()
    {
        for (const auto &[adapter, version] : engine.loading) {
            engine.adapters[adapter] = version;
        }
        engine.loading.clear();
        report();
    }

    void load(const std::string &adapter)
    {
        keeper.want(adapter, clock.now());
        work();
        finishLoads();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(order_planner_suite, engine_world)

BOOST_AUTO_TEST_CASE(a_wanted_adapter_is_loaded_once)
{
    keeper.want("m/a1", clock.now());
    keeper.want("m/a1", clock.now());
    work();
    BOOST_TEST(orders.size() == 1U);
    BOOST_TEST(orders.front().adapter == "m/a1");
    finishLoads();
    BOOST_TEST(keeper.waiting() == 0U);
    BOOST_TEST(!keeper.isActive());
}

BOOST_AUTO_TEST_CASE(the_least_recently_used_adapter_makes_room)
{
    for (const char *adapter : {"m/a1", "m/a2", "m/a3"}) {
        load(adapter);
        pass(milliseconds(100));
    }
    pass(milliseconds(1'000));
    keeper.setInUse("gateway", {{"m/a1", 1}}, clock.now());
    keeper.setInUse("gateway", {}, clock.now());
    pass(milliseconds(400));
    load("m/a4");
    BOOST_TEST(!engine.adapters.contains("m/a2"));
    BOOST_TEST(engine.adapters.contains("m/a1"));
    BOOST_TEST(mostHeld == 3U);
}

BOOST_AUTO_TEST_CASE(an_adapter_in_use_is_never_unloaded)
{
    for (const char *adapter : {"m/a1", "m/a2", "m/a3"}) {
        load(adapter);
    }
    keeper.setInUse("one", {{"m/a1", 1}, {"m/a2", 2}}, clock.now());
    keeper.setInUse("two", {{"m/a3", 1}}, clock.now());
    pass(milliseconds(60'000));
    keeper.want("m/a4", clock.now());
    BOOST_TEST(!next().has_value());
    keeper.setInUse("two", {}, clock.now());
    // A request sent a moment ago may still be on the way.
    BOOST_TEST(!next().has_value());
    keeper.setInUse("two", {{"m/a4", 1}}, clock.now());
    pass(milliseconds(400));
    const auto order = next();
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->adapter == "m/a3");
    BOOST_TEST((order->operation == engine_order::operation_type::unload));
}

BOOST_AUTO_TEST_CASE(no_more_is_ordered_than_the_engine_holds_though_reports_lag)
{
    load("m/b1");
    load("m/b2");
    keeper.setInUse("gateway", {{"m/b1", 1}, {"m/b2", 1}}, clock.now());
    for (int index = 0; index < 12; ++index) {
        const std::string adapter = "m/a" + std::to_string(index);
        keeper.want(adapter, clock.now());
    }
    std::size_t loads = 0;
    // The reports show nothing of the orders.
    while (const auto order = next()) {
        BOOST_REQUIRE((order->operation == engine_order::operation_type::load));
        keeper.ordered(*order, order_result::accepted, clock.now());
        ++loads;
    }
    BOOST_TEST(loads == 1U);
}

BOOST_AUTO_TEST_CASE(an_order_without_an_answer_takes_its_slot)
{
    load("m/b1");
    load("m/b2");
    keeper.setInUse("gateway", {{"m/b1", 1}, {"m/b2", 1}}, clock.now());
    keeper.want("m/a1", clock.now());
    keeper.want("m/a2", clock.now());
    const auto order = next();
    BOOST_REQUIRE(order.has_value());
    keeper.ordered(*order, order_result::unknown, clock.now());
    BOOST_TEST(!next().has_value());
}

BOOST_AUTO_TEST_CASE(a_nearly_empty_engine_keeps_fewer_loads_on_their_way)
{
    engine_world world(15);
    const auto ordered = [&] {
        std::size_t loads = 0;
        while (const auto order = world.next()) {
            world.keeper.ordered(*order, order_result::accepted, world.clock.now());
            ++loads;
        }
        return loads;
    };
    for (int index = 0; index < 20; ++index) {
        world.keeper.want("m/a" + std::to_string(index), world.clock.now());
    }
    BOOST_TEST(ordered() == 2U);
    for (int index = 20; index < 28; ++index) {
        world.engine.adapters["m/a" + std::to_string(index)] = 1;
    }
    world.pass(milliseconds(600));
    for (int index = 0; index < 20; ++index) {
        world.keeper.want("m/a" + std::to_string(index), world.clock.now());
    }
    BOOST_TEST(ordered() == 4U);
}

BOOST_AUTO_TEST_CASE(an_adapter_that_nobody_waits_for_any_more_is_not_loaded)
{
    keeper.setInUse("gateway", {{"m/a1", 1}}, clock.now());
    keeper.want("m/a1", clock.now());
    keeper.want("m/a2", clock.now());
    engine.busy = true;
    engine.models.clear();
    pass(milliseconds(400));
    engine.models = {"m"};
    engine.busy = false;
    pass(milliseconds(1));
    work();
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders.front().adapter == "m/a1");
}

BOOST_AUTO_TEST_CASE(the_base_model_comes_back_after_a_restart)
{
    load("m/a1");
    engine = {};
    engine.startedAtMs = 2;
    report();
    const auto order = next();
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->model == "m");
    BOOST_TEST(order->adapter.empty());
    keeper.ordered(*order, order_result::accepted, clock.now());
    engine.busy = true;
    report();
    keeper.want("m/a1", clock.now());
    BOOST_TEST(!next().has_value());
    BOOST_TEST(keeper.isActive());
    engine.busy = false;
    engine.models = {"m"};
    report();
    work();
    BOOST_TEST(orders.back().adapter == "m/a1");
}

BOOST_AUTO_TEST_CASE(an_old_version_is_replaced_once_a_newer_one_is_published)
{
    load("m/a1");
    pass(milliseconds(600));
    keeper.setRelease("m/a1", 3);
    keeper.setRelease("m/a1", 2);
    work();
    BOOST_REQUIRE(orders.size() == 2U);
    BOOST_TEST(orders.back().version == 3U);
    // Not again while it is under way.
    BOOST_TEST(!next().has_value());
    finishLoads();
    pass(milliseconds(1'000));
    BOOST_TEST(!next().has_value());
}

BOOST_AUTO_TEST_CASE(a_refused_order_is_given_again_after_a_pause)
{
    keeper.want("m/a1", clock.now());
    const auto order = next();
    BOOST_REQUIRE(order.has_value());
    keeper.ordered(*order, order_result::busy, clock.now());
    BOOST_TEST(!next().has_value());
    keeper.want("m/a1", clock.now());
    pass(milliseconds(150));
    BOOST_TEST(next().has_value());
}

BOOST_AUTO_TEST_CASE(nothing_is_ordered_from_an_engine_that_does_not_answer)
{
    keeper.want("m/a1", clock.now());
    keeper.unreachable();
    BOOST_TEST(!next().has_value());
}

BOOST_AUTO_TEST_CASE(a_cold_tail_by_a_zipf_law_turns_over_no_more_slots_than_it_needs)
{
    // The pattern: a hot head that is always in use beside a tail of which each adapter comes once.
    engine_world world(15);
    use_counts head;
    for (int index = 0; index < 8; ++index) {
        const std::string adapter = "m/head" + std::to_string(index);
        world.load(adapter);
        head[adapter] = 1;
    }
    for (int index = 0; index < 200; ++index) {
        const std::string adapter = "m/tail" + std::to_string(index);
        auto inUse = head;
        inUse[adapter] = 1;
        world.keeper.setInUse("gateway", inUse, world.clock.now());
        world.pass(milliseconds(350));
        world.load(adapter);
    }
    BOOST_TEST(world.mostHeld <= 15U);
    for (const auto &[adapter, count] : head) {
        BOOST_TEST(world.engine.adapters.contains(adapter));
    }
    const auto headLoads = std::count_if(world.orders.begin(), world.orders.end(), [](const engine_order &order) {
        return order.operation == engine_order::operation_type::load && order.adapter.starts_with("m/head");
    });
    BOOST_TEST(headLoads == 8);
}

BOOST_AUTO_TEST_CASE(what_most_requests_wait_for_is_loaded_first_and_rare_adapters_in_the_end)
{
    // The pattern: an empty engine after a loss of power, with all adapters asked for at once.
    keeper.want("m/rare", clock.now());
    keeper.want("m/busy", clock.now());
    keeper.setInUse("gateway", {{"m/rare", 1}, {"m/busy", 4}}, clock.now());
    BOOST_TEST(next()->adapter == "m/busy");
    clock.advance(milliseconds(1'000));
    keeper.want("m/new", clock.now());
    keeper.setInUse("gateway", {{"m/rare", 1}, {"m/new", 4}}, clock.now());
    BOOST_TEST(next()->adapter == "m/rare");
}

BOOST_AUTO_TEST_CASE(fencing_climbs_past_a_token_of_a_time_of_day_that_was_ahead)
{
    const core::wall_time start(milliseconds(1'700'000'000'000));
    fencing_token_source tokens(start);
    const std::uint64_t seen = 1'700'000'000'000ULL + 24ULL * 3'600'000;
    int steps = 0;
    while (tokens.current() < seen) {
        const std::uint64_t before = tokens.current();
        tokens.advance();
        BOOST_REQUIRE(tokens.current() > before);
        ++steps;
    }
    BOOST_TEST(steps <= 12);
}

BOOST_FIXTURE_TEST_CASE(room_counts_the_slots_that_a_further_adapter_can_have_at_once, engine_world)
{
    BOOST_TEST(keeper.room(clock.now()) == 2U);
    load("m/a");
    load("m/b");
    load("m/c");
    // All three were used just now.
    BOOST_TEST(keeper.room(clock.now()) == 0U);
    pass(milliseconds(1'000));
    BOOST_TEST(keeper.room(clock.now()) == 3U);
    keeper.setInUse("g", {{"m/a", 1}, {"m/b", 2}}, clock.now());
    BOOST_TEST(keeper.room(clock.now()) == 1U);
    keeper.want("m/d", clock.now());
    BOOST_TEST(keeper.waiting() == 1U);
    BOOST_TEST(keeper.room(clock.now()) == 0U);
    work();
    // On its way, it waits for no slot any more.
    BOOST_TEST(keeper.waiting() == 0U);
    keeper.unreachable();
    BOOST_TEST(keeper.room(clock.now()) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
