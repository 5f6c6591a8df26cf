#include "fleet_fixture.hpp"

#include <medlarrack/gateway/adapter_demand.hpp>

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <deque>
#include <random>
#include <set>

using namespace medlarrack;
using namespace medlarrack::gateway;
using std::chrono::milliseconds;

namespace {

struct fixture : medlarrack::gateway::testing::fleet_fixture
{
    void fail(const replica_ptr &one)
    {
        for (int index = 0; index < 4; ++index) {
            one->health.recordFailure(false, clock.now());
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(plain_choice, fixture)

BOOST_AUTO_TEST_CASE(the_replica_of_this_data_centre_is_used_while_it_has_room)
{
    const replica_ptr near = add("near", "dc1", "plain", 6);
    add("far", "dc2", "plain", 6);
    near->outstanding = 4;
    BOOST_TEST(choosePlainOne().target == near);
    near->outstanding = 14;
    BOOST_TEST(choosePlainOne().target->record.id == "far");
}

BOOST_AUTO_TEST_CASE(load_of_other_processes_counts_while_it_is_fresh)
{
    const replica_ptr one = add("one", "dc1", "plain", 6);
    const replica_ptr two = add("two", "dc1", "plain", 6);
    one->setReportedLoad(12, clock.now());
    two->outstanding = 3;
    BOOST_TEST(choosePlainOne().target == two);
    clock.advance(milliseconds(500));
    BOOST_TEST(choosePlainOne().target == one);
}

BOOST_AUTO_TEST_CASE(a_slow_replica_gets_less)
{
    // Three replicas of six slots each; one takes five times as long per request.
    std::vector<replica_ptr> replicas = {add("a", "dc1", "plain", 6), add("b", "dc1", "plain", 6),
                                         add("c", "dc1", "plain", 6)};
    std::map<std::string, int> requestCounts;
    std::deque<std::pair<milliseconds, replica_ptr>> running;
    milliseconds time{0};
    for (int request = 0; request < 600; ++request) {
        clock.advance(milliseconds(10));
        time += milliseconds(10);
        std::erase_if(running, [&](const auto &run) {
            if (run.first > time) {
                return false;
            }
            --run.second->outstanding;
            run.second->recordSuccess(milliseconds(run.second->record.id == "a" ? 300 : 60), 0, clock.now());
            return true;
        });
        const replica_choice choice = choosePlainOne();
        BOOST_REQUIRE(choice.target != nullptr);
        ++choice.target->outstanding;
        ++requestCounts[choice.target->record.id];
        running.emplace_back(time + milliseconds(choice.target->record.id == "a" ? 300 : 60), choice.target);
    }
    BOOST_TEST(requestCounts["a"] < 60);
    BOOST_TEST(requestCounts["b"] > 200);
    BOOST_TEST(requestCounts["c"] > 200);
}

BOOST_AUTO_TEST_CASE(a_failing_leaving_or_tried_replica_gets_nothing)
{
    fail(add("failing", "dc1", "plain"));
    add("leaving", "dc1", "plain")->record.leaving = true;
    add("tried", "dc1", "plain");
    const std::vector<std::string> tried = {"tried"};
    BOOST_TEST(choosePlainOne(tried).target == nullptr);
    BOOST_TEST(choosePlainOne().target->record.id == "tried");
}

// Guards against gateways that all send their requests to the same replica until the next report.
BOOST_AUTO_TEST_CASE(gateways_with_the_same_reports_choose_different_replicas)
{
    std::uint64_t load = 3;
    for (int index = 0; index < 4; ++index) {
        const replica_ptr one = add("p" + std::to_string(index), "dc1", "plain", 6);
        one->recordSuccess(milliseconds(60), 0, clock.now());
        one->setReportedLoad(load++, clock.now());
    }
    clock.advance(milliseconds(200));
    std::map<std::string, int> chosen;
    for (int request = 0; request < 400; ++request) {
        ++chosen[choosePlainOne().target->record.id];
    }
    BOOST_TEST(chosen.size() == 4U);
    for (const auto &[id, times] : chosen) {
        BOOST_TEST(times < 200, id);
    }
}

// Guards against a slow replica that is never used again, and against one that keeps getting its share.
BOOST_AUTO_TEST_CASE(a_slow_replica_gets_an_occasional_request)
{
    for (const char *id : {"a", "b", "c"}) {
        const replica_ptr one = add(id, "dc1", "plain", 6);
        one->recordSuccess(milliseconds(60), 0, clock.now());
        one->speed.recordPercent(id == std::string_view("a") ? 400 : 100, clock.now());
    }
    const choice_query query{.service = "plain", .timeLeft = milliseconds(4'000)};
    const auto requestsToSlow = [&](const choice_query &asked) {
        int count = 0;
        for (int request = 0; request < 640; ++request) {
            count += choosePlain(table, asked, clock.now(), choiceRandom).target->record.id == "a" ? 1 : 0;
        }
        return count;
    };
    BOOST_TEST(requestsToSlow(query) == 0);
    clock.advance(milliseconds(1'500));
    const int probes = requestsToSlow(query);
    BOOST_TEST(probes >= 5);
    BOOST_TEST(probes <= 40);
    // One that has little time left, or was refused before, isn't spent on it.
    BOOST_TEST(requestsToSlow({.service = "plain", .timeLeft = milliseconds(400)}) == 0);
    BOOST_TEST(requestsToSlow({.service = "plain", .timeLeft = milliseconds(4'000), .isCallerRetry = true}) == 0);
    table.find("a")->outstanding = 1;
    BOOST_TEST(requestsToSlow(query) == 0);
}

// Guards against requests that wait at replicas until their callers have given up, and against refusals while replicas
// are idle.
BOOST_AUTO_TEST_CASE(a_request_that_no_replica_can_answer_in_time_is_refused)
{
    for (const char *id : {"a", "b"}) {
        add(id, "dc1", "plain", 6)->recordSuccess(milliseconds(60), 0, clock.now());
    }
    const auto isRefused = [&](int timeLeftMs, bool isCallerRetry = false) {
        const choice_query query{
            .service = "plain", .timeLeft = milliseconds(timeLeftMs), .isCallerRetry = isCallerRetry};
        const replica_choice choice = choosePlain(table, query, clock.now(), choiceRandom);
        BOOST_TEST((choice.target == nullptr) == choice.saturated);
        return choice.target == nullptr;
    };
    const auto report = [&](std::uint64_t load) {
        table.find("a")->setReportedLoad(load, clock.now());
        table.find("b")->setReportedLoad(load, clock.now());
    };
    // 54 wait at six slots: ten times the duration of work.
    report(60);
    BOOST_TEST(isRefused(300));
    BOOST_TEST(isRefused(600));
    BOOST_TEST(!isRefused(1'000));
    // Those that were refused before go first.
    BOOST_TEST(isRefused(700));
    BOOST_TEST(!isRefused(700, true));
    BOOST_TEST(isRefused(500, true));
    // One replica with room is enough.
    table.find("b")->setReportedLoad(5, clock.now());
    BOOST_TEST(!isRefused(100));
    // Less than half of the slots are taken, and nothing waits.
    report(2);
    BOOST_TEST(!isRefused(20));
    BOOST_TEST(!isRefused(1));
    // A request that may have run is never refused, and old reports refuse nothing.
    report(1'000);
    BOOST_TEST(choosePlainOne().target != nullptr);
    clock.advance(milliseconds(301));
    BOOST_TEST(!isRefused(1));
}

// Guards against expected times shown to operators that aren't those by which replicas are compared.
BOOST_AUTO_TEST_CASE(the_shown_times_are_those_of_the_choice)
{
    const replica_ptr busy = add("busy", "dc1", "plain", 6);
    const replica_ptr idle = add("idle", "dc1", "plain", 6);
    busy->outstanding = 12;
    const choice_query plain{.service = "plain"};
    const auto times = plainTimes(table, plain, clock.now());
    BOOST_TEST_REQUIRE(times.size() == 2U);
    const replica_choice chosen = choosePlainOne();
    BOOST_TEST(chosen.target == idle);
    for (const expected_time &one : times) {
        BOOST_TEST((one.at != idle || one.time == chosen.expectedTime));
        BOOST_TEST((one.at != busy || one.time > chosen.expectedTime));
    }
    addEngines(3);
    table.find("e0")->addPendingPrefillTokens(38'000, clock.now());
    table.find("e1")->agent->engineUp = false;
    const choice_query engine{.service = "llm", .model = "m", .batchSize = 32};
    const auto engines = engineTimes(table, engine, clock.now());
    BOOST_TEST_REQUIRE(engines.size() == 2U);
    const auto shortest = std::min_element(engines.begin(), engines.end(), [](const auto &left, const auto &right) {
        return left.time < right.time;
    });
    BOOST_TEST(shortest->at == choose("").target);
    BOOST_TEST((std::max(engines[0].time, engines[1].time) >= milliseconds(1'000)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(engine_choice, fixture)

BOOST_AUTO_TEST_CASE(an_adapter_goes_where_it_is_loaded)
{
    addEngines(9);
    table.find("e4")->agent->adapters["m/a1"] = 1;
    const replica_choice choice = choose("m/a1");
    BOOST_TEST(choice.target->record.id == "e4");
    BOOST_TEST(!choice.needsLoad);
}

BOOST_AUTO_TEST_CASE(an_adapter_has_the_same_home_for_all_processes_whatever_the_load)
{
    addEngines(18);
    const replica_ptr home = choose("m/a1").target;
    BOOST_TEST(choose("m/a1").needsLoad);
    home->outstanding = 20;
    BOOST_TEST(choose("m/a1").target == home);
    gateway::testing::fleet_fixture other;
    other.table = replica_table("dc2");
    other.addEngines(18);
    BOOST_TEST(other.choose("m/a1").target->record.id == home->record.id);
}

BOOST_AUTO_TEST_CASE(a_lost_engine_moves_only_its_own_adapters)
{
    addEngines(18);
    std::map<std::string, std::string> homes;
    for (int index = 0; index < 300; ++index) {
        const std::string adapter = "m/a" + std::to_string(index);
        homes[adapter] = choose(adapter).target->record.id;
    }
    table.find("e7")->agent->engineUp = false;
    for (const auto &[adapter, home] : homes) {
        const std::string now = choose(adapter).target->record.id;
        BOOST_TEST((home == "e7" ? now != "e7" : now == home));
    }
}

BOOST_AUTO_TEST_CASE(an_old_version_does_not_count_as_loaded)
{
    addEngines(3);
    table.find("e0")->agent->adapters["m/a1"] = 1;
    table.updateVersion("m/a1", 2);
    BOOST_TEST(choose("m/a1").needsLoad);
    table.find("e0")->agent->adapters["m/a1"] = 2;
    BOOST_TEST(!choose("m/a1").needsLoad);
}

BOOST_AUTO_TEST_CASE(requests_for_one_adapter_wait_for_one_load)
{
    addEngines(18);
    const replica_ptr home = choose("m/a1").target;
    home->requestsByAdapter["m/a1"] = 1;
    for (const auto &[id, one] : table.all()) {
        one->outstanding = one == home ? 10 : 0;
    }
    const replica_choice next = choose("m/a1");
    BOOST_TEST(next.target == home);
    BOOST_TEST(next.needsLoad);
}

BOOST_AUTO_TEST_CASE(demand_that_fills_an_engine_gets_a_second_home)
{
    addEngines(18);
    // Many processes send a few requests each; together they fill the engine.
    const replica_ptr holder = table.find("e0");
    holder->agent->adapters["m/a1"] = 1;
    holder->setReportedLoad(20, clock.now());
    table.find("e3")->setReportedLoad(14, clock.now());
    BOOST_TEST(choose("m/a1", 1).alsoLoadAt == nullptr);
    const replica_choice choice = choose("m/a1", 3);
    BOOST_TEST(choice.target == holder);
    BOOST_REQUIRE(choice.alsoLoadAt != nullptr);
    BOOST_TEST(choice.alsoLoadAt->load() == 0U);
    for (const auto &[id, one] : table.all()) {
        one->setReportedLoad(18, clock.now());
    }
    BOOST_TEST(choose("m/a1", 3).alsoLoadAt == nullptr);
}

BOOST_AUTO_TEST_CASE(steady_demand_from_one_data_centre_gets_a_home_there)
{
    addEngines(18);
    table.find("e1")->agent->adapters["m/a1"] = 1;
    // A load costs as much as 6 to 18 requests between data centres.
    BOOST_TEST(choose("m/a1", 6).alsoLoadAt == nullptr);
    const replica_choice choice = choose("m/a1", 18);
    BOOST_TEST(choice.target->record.id == "e1");
    BOOST_REQUIRE(choice.alsoLoadAt != nullptr);
    BOOST_TEST(choice.alsoLoadAt->local);
}

BOOST_AUTO_TEST_CASE(an_adapter_goes_where_a_slot_is_free_when_all_slots_of_its_home_are_in_use)
{
    // An infrequently used adapter whose home has no free slot: a load elsewhere takes 0.3 s, waiting for a slot 1 s.
    addEngines(18);
    const replica_ptr home = choose("m/a1").target;
    home->agent->availableSlots = 0;
    home->agent->pendingLoads = 3;
    const replica_ptr second = choose("m/a1").target;
    BOOST_TEST(second != home);
    // All processes choose the same second home.
    gateway::testing::fleet_fixture other;
    other.table = replica_table("dc2");
    other.addEngines(18);
    other.table.find(home->record.id)->agent->availableSlots = 0;
    BOOST_TEST(other.choose("m/a1").target->record.id == second->record.id);
    // Without a free slot anywhere, the home with the shortest load queue is used.
    for (const auto &[id, one] : table.all()) {
        one->agent->availableSlots = 0;
        one->agent->pendingLoads = one == second ? 1 : 4;
    }
    BOOST_TEST(choose("m/a1").target == second);
}

BOOST_AUTO_TEST_CASE(after_a_mass_restart_an_adapter_is_loaded_at_few_engines_whatever_each_process_sees)
{
    // Each of 24 processes sees different load queues at 45 empty engines.
    std::mt19937 random(1);
    for (int index = 0; index < 50; ++index) {
        std::set<std::string> homes;
        for (int process = 0; process < 24; ++process) {
            gateway::testing::fleet_fixture view;
            view.addEngines(45);
            for (const auto &[id, one] : view.table.all()) {
                one->agent->availableSlots = random() % 2;
                one->agent->pendingLoads = one->agent->availableSlots > 0 ? 0 : random() % 9;
            }
            homes.insert(view.choose("m/a" + std::to_string(index)).target->record.id);
        }
        BOOST_TEST(homes.size() <= 3U);
    }
}

BOOST_AUTO_TEST_CASE(an_adapter_returns_to_an_engine_that_has_held_it)
{
    addEngines(18);
    const replica_ptr home = choose("m/a1").target;
    const replica_ptr held = table.find(home->record.id == "e2" ? "e3" : "e2");
    held->agent->recentAdapters.add("m/a1");
    BOOST_TEST(choose("m/a1").target == held);
    // A load from the store delays those of other engines, so it isn't worth some wait less.
    held->agent->availableMemorySlots = 0;
    held->agent->pendingLoads = 4;
    BOOST_TEST(choose("m/a1").target == held);
    held->agent->pendingLoads = 8;
    BOOST_TEST(choose("m/a1").target == home);
}

// While the store is busy, loads from it wait at each engine. Those from memory don't.
BOOST_AUTO_TEST_CASE(an_adapter_in_an_engines_memory_is_loaded_there_however_many_loads_wait_for_the_store)
{
    addEngines(18);
    const replica_ptr home = choose("m/a1").target;
    const replica_ptr held = table.find(home->record.id == "e2" ? "e3" : "e2");
    held->agent->recentAdapters.add("m/a1");
    held->agent->availableSlots = 0;
    held->agent->pendingLoads = 20;
    BOOST_TEST(choose("m/a1").target == held);
    BOOST_TEST(expectedLoadTime(*held, "m/a1").count() == 30);
    BOOST_TEST(expectedLoadTime(*held, "m/a2").count() > 1'000);
}

BOOST_AUTO_TEST_CASE(an_engine_that_holds_the_adapter_is_used_before_a_load_from_the_store_until_its_batch_is_full)
{
    addEngines(18);
    const replica_ptr holder = table.find("e0");
    holder->agent->adapters["m/a1"] = 1;
    holder->setReportedLoad(30, clock.now());
    BOOST_TEST(choose("m/a1").target == holder);
    // A load from memory costs the others nothing.
    table.find("e1")->agent->recentAdapters.add("m/a1");
    BOOST_TEST(choose("m/a1").target->record.id == "e1");
    table.find("e1")->agent->recentAdapters = {};
    holder->setReportedLoad(32, clock.now());
    const replica_choice choice = choose("m/a1");
    BOOST_TEST(choice.target != holder);
    BOOST_TEST(choice.needsLoad);
}

BOOST_AUTO_TEST_CASE(a_copy_is_not_loaded_where_requests_wait_for_slots)
{
    addEngines(18);
    const replica_ptr holder = table.find("e0");
    holder->agent->adapters["m/a1"] = 1;
    holder->setReportedLoad(20, clock.now());
    for (const auto &[id, one] : table.all()) {
        one->agent->availableSlots = 0;
    }
    BOOST_TEST(choose("m/a1", 3).alsoLoadAt == nullptr);
    table.find("e6")->agent->availableSlots = 1;
    BOOST_TEST(choose("m/a1", 3).alsoLoadAt->record.id == "e6");
}

BOOST_AUTO_TEST_CASE(a_crowded_fleet_is_refused_at_once)
{
    addEngines(3);
    for (const auto &[id, one] : table.all()) {
        one->outstanding = 30;
    }
    const replica_choice choice = choose("m/a1");
    BOOST_TEST(choice.target == nullptr);
    BOOST_TEST(choice.why == "all engines are crowded or have too many adapters to load");
    BOOST_TEST(choice.saturated);
}

BOOST_AUTO_TEST_CASE(a_rare_adapter_is_refused_at_once_when_its_homes_have_too_many_to_load)
{
    // After a power failure, loads at other engines would only evict the adapters loaded there.
    addEngines(45);
    for (int home = 0; home < 3; ++home) {
        const replica_choice choice = choose("m/a1");
        BOOST_REQUIRE(choice.target != nullptr);
        choice.target->agent->availableSlots = 0;
        choice.target->agent->pendingLoads = 10;
    }
    BOOST_TEST(choose("m/a1").target == nullptr);
    BOOST_TEST(choose("m/a1").saturated);
}

BOOST_AUTO_TEST_CASE(an_engine_without_the_base_model_gets_nothing)
{
    addEngines(2);
    table.find("e0")->agent->models.clear();
    for (int index = 0; index < 50; ++index) {
        BOOST_TEST(choose("m/a" + std::to_string(index)).target->record.id == "e1");
    }
}

BOOST_AUTO_TEST_CASE(engines_about_to_load_their_base_model_are_expected)
{
    // After a power failure all engines are without models and load them within a second.
    addEngines(2);
    table.find("e0")->agent->models.clear();
    table.find("e1")->agent->models.clear();
    BOOST_TEST(choose("m/a1").target == nullptr);
    BOOST_TEST(choose("m/a1").engineStarting);
    table.find("e0")->agent->engineUp = false;
    table.find("e1")->record.leaving = true;
    BOOST_TEST(!choose("m/a1").engineStarting);
}

BOOST_AUTO_TEST_CASE(the_homes_of_an_adapter_are_waited_for_while_engines_come_back_one_by_one)
{
    // After a power failure each process sees different engines return first; loads at all of these would overload the
    // weight store.
    addEngines(45);
    const std::string home = choose("m/a1").target->record.id;
    for (const auto &[id, one] : table.all()) {
        if (id != "e0" && id != "e1") {
            one->agent->models.clear();
        }
    }
    const replica_choice early = choose("m/a1");
    BOOST_TEST(early.target == nullptr);
    BOOST_TEST(early.engineStarting);
    table.find(home)->agent->models = {"m"};
    BOOST_TEST(choose("m/a1").target->record.id == home);
}

// Guards against requests that are rejected by every engine of a fleet that crashed and restarted under new ids.
BOOST_AUTO_TEST_CASE(an_engine_that_started_anew_gets_nothing_under_its_old_id_until_it_is_listed)
{
    addEngines(3);
    const auto restart = [this](const std::string &id) {
        agent_status &agent = *table.find(id)->agent;
        agent.startedAtMs = 2;
        agent.startObservedAt = clock.now();
    };
    table.find("e1")->agent->adapters["m/a1"] = 1;
    restart("e1");
    BOOST_TEST(choose("m/a1").target->record.id != "e1");
    restart("e0");
    restart("e2");
    BOOST_TEST(choose("m/a1").target == nullptr);
    BOOST_TEST(choose("m/a1").engineStarting);
    // Listed again under the same id, it is used at once.
    catalog::replica_record record = table.find("e1")->record;
    record.startedAtMs = 2;
    table.update(record, clock.now());
    BOOST_TEST(choose("m/a2").target->record.id == "e1");
    // If no new record arrives in time, the engine is used under its old id.
    clock.advance(milliseconds(2'000));
    BOOST_TEST(!choose("m/a3", 0, std::vector<std::string>{"e1"}).engineStarting);
    BOOST_TEST(choose("m/a3", 0, std::vector<std::string>{"e1"}).target != nullptr);
}

BOOST_AUTO_TEST_CASE(a_newly_listed_engine_is_not_used_until_its_agent_reports_what_it_holds)
{
    const replica_ptr one = add("e0");
    one->record.adapters["m/a1"] = 1;
    BOOST_TEST(choose("m/a1").target == nullptr);
    BOOST_TEST(choose("m/a1").engineStarting);
    // The engine may be healthy while its agent is down.
    clock.advance(milliseconds(600));
    BOOST_TEST(choose("m/a1").target == one);
}

BOOST_AUTO_TEST_CASE(an_engine_that_fails_requests_of_other_processes_gets_none_while_most_are_sound)
{
    // Seven of 45 engines fail 40% of their requests for 8 s; a process sends each about one request per second.
    addEngines(45);
    for (int index = 0; index < 7; ++index) {
        const replica_ptr one = table.find("e" + std::to_string(index));
        one->agent->failurePercent = 40;
        one->agent->adapters["m/a1"] = 1;
    }
    BOOST_TEST(choose("m/a1").target->agent->failurePercent == 0U);
    // Requests that may run again still use failing engines.
    const choice_query repeatable{"llm", "m", "m/a1", 32, 0, {}, true};
    BOOST_TEST(chooseEngine(table, repeatable, clock.now()).target->agent->failurePercent == 40U);
    table.find("e9")->agent->adapters["m/a1"] = 1;
    BOOST_TEST(choose("m/a1").target->record.id == "e9");
    // If all replicas of a service fail, they stay in use.
    for (const auto &[id, one] : table.all()) {
        one->agent->failurePercent = 45;
    }
    BOOST_TEST(!choose("m/a1").needsLoad);
}

BOOST_AUTO_TEST_CASE(a_request_goes_round_an_engine_that_reads_a_long_prompt)
{
    // An engine takes 237 ms to prefill the 9,190 tokens of a summarization prompt, which delays the first events of
    // all its requests.
    addEngines(6);
    const replica_ptr reading = table.find("e0");
    const replica_ptr other = table.find("e3");
    for (const replica_ptr &one : {reading, other}) {
        one->agent->adapters["m/a1"] = 1;
    }
    other->outstanding = 4;
    BOOST_TEST(choose("m/a1").target == reading);
    reading->agent->othersPendingPrefillTokens = 9'190;
    BOOST_TEST(choose("m/a1").target == other);
    reading->agent->othersPendingPrefillTokens = 0;
    reading->pendingPrefillTokens = 9'190;
    BOOST_TEST(choose("m/a1").target == other);
}

BOOST_AUTO_TEST_CASE(a_much_slower_engine_gets_one_request_at_a_time)
{
    addEngines(6);
    for (const auto &[id, one] : table.all()) {
        one->health.recordSuccess(milliseconds(id == "e0" ? 400 : 50));
        one->agent->adapters["m/a1"] = 1;
    }
    table.find("e0")->outstanding = 1;
    table.find("e3")->outstanding = 5;
    for (int index = 0; index < 10; ++index) {
        BOOST_TEST(choose("m/a1").target->record.id != "e0");
    }
}

BOOST_AUTO_TEST_CASE(zipf_demand_on_few_slots_loads_each_adapter_at_few_engines)
{
    // Both users' workload: 3,000 adapters with Zipf exponent 1.2 at 280 requests/s on 18 engines of 15 slots. An
    // engine reloads adapters that it has held before without a request to the weight store.
    constexpr int adapters = 3'000;
    constexpr std::size_t slots = 15;
    constexpr int requests = 8'400;
    addEngines(18);
    std::mt19937 random(1);
    std::vector<double> weights;
    for (int rank = 1; rank <= adapters; ++rank) {
        weights.push_back(std::pow(rank, -1.2));
    }
    std::discrete_distribution<int> popularity(weights.begin(), weights.end());
    adapter_demand demand;
    std::map<std::string, std::deque<std::string>> held;
    std::map<std::string, std::set<std::string>> everHeldAt;
    std::size_t coldLoads = 0;
    const auto load = [&](const replica_ptr &at, const std::string &adapter) {
        auto &recent = held[at->record.id];
        recent.push_back(adapter);
        at->agent->adapters[adapter] = 1;
        if (recent.size() > slots) {
            at->agent->adapters.erase(recent.front());
            recent.pop_front();
        }
        coldLoads += everHeldAt[adapter].insert(at->record.id).second ? 1 : 0;
    };
    std::set<std::string> asked;
    for (int request = 0; request < requests; ++request) {
        clock.advance(milliseconds(1'000) / 280);
        const std::string adapter = "m/a" + std::to_string(popularity(random));
        asked.insert(adapter);
        const replica_choice choice = choose(adapter, demand.recordRequest(adapter, clock.now()));
        BOOST_REQUIRE(choice.target != nullptr);
        if (choice.needsLoad) {
            load(choice.target, adapter);
        } else {
            auto &recent = held[choice.target->record.id];
            std::erase(recent, adapter);
            recent.push_back(adapter);
        }
        if (choice.alsoLoadAt != nullptr) {
            load(choice.alsoLoadAt, adapter);
        }
    }
    // One load per adapter, plus 10% for local homes of the most requested ones.
    BOOST_TEST(coldLoads <= asked.size() + asked.size() / 10);
}

// Guards against requests to replicas in a quiet period, whether or not other replicas are available.
BOOST_AUTO_TEST_CASE(a_quiet_replica_gets_nothing_even_as_the_last_one)
{
    const replica_ptr first = add("p0", "dc1", "plain", 6);
    const replica_ptr second = add("p1", "dc1", "plain", 6);
    first->startQuietPeriod(std::chrono::milliseconds(2'000), clock.now());
    BOOST_TEST(choosePlainOne().target == second);
    second->startQuietPeriod(std::chrono::milliseconds(1'000), clock.now());
    BOOST_TEST(choosePlainOne().target == nullptr);
    clock.advance(std::chrono::milliseconds(1'000));
    BOOST_TEST(choosePlainOne().target == second);

    addEngines(3);
    for (int index = 0; index < 3; ++index) {
        table.find("e" + std::to_string(index))->startQuietPeriod(std::chrono::milliseconds(500), clock.now());
    }
    const replica_choice none = choose("m/a1");
    BOOST_TEST(none.target == nullptr);
    BOOST_TEST(!none.engineStarting);
}

// Guards against a burst at the end of a quiet period, when all requests held back for a replica arrive at once.
BOOST_AUTO_TEST_CASE(work_comes_back_gradually_after_a_quiet_time)
{
    const replica_ptr one = add("p0", "dc1", "plain", 6);
    one->startQuietPeriod(std::chrono::milliseconds(2'000), clock.now());
    clock.advance(std::chrono::milliseconds(2'000));
    std::vector<std::uint32_t> taken;
    for (int tenth = 0; tenth <= 10; ++tenth) {
        while (choosePlainOne().target != nullptr && one->outstanding < 100) {
            ++one->outstanding;
        }
        taken.push_back(one->outstanding);
        clock.advance(std::chrono::milliseconds(100));
    }
    const std::vector<std::uint32_t> expected = {1, 1, 2, 2, 3, 4, 4, 5, 5, 6, 100};
    BOOST_TEST(taken == expected, boost::test_tools::per_element());
}

// A third of the replicas start a quiet period of 2 s: the others get an equal share of the load, without retries.
BOOST_AUTO_TEST_CASE(the_load_of_replicas_that_close_spreads_over_the_others)
{
    for (int index = 0; index < 6; ++index) {
        add("p" + std::to_string(index), "dc1", "plain", 6);
    }
    const auto spread = [&] {
        for (const auto &[id, one] : table.all()) {
            one->outstanding = 0;
        }
        for (int request = 0; request < 18; ++request) {
            ++choosePlainOne().target->outstanding;
        }
        std::uint32_t most = 0;
        for (const auto &[id, one] : table.all()) {
            most = std::max(most, one->outstanding);
        }
        return most;
    };
    BOOST_TEST(spread() == 3U);
    table.find("p0")->startQuietPeriod(std::chrono::milliseconds(2'000), clock.now());
    table.find("p1")->startQuietPeriod(std::chrono::milliseconds(2'000), clock.now());
    BOOST_TEST(spread() == 5U);
    BOOST_TEST(table.find("p0")->outstanding == 0U);
    BOOST_TEST(table.find("p1")->outstanding == 0U);
}

// Guards against requests that wait for replicas that will not take them in time, and against none waited for.
BOOST_AUTO_TEST_CASE(a_replica_is_expected_again_if_its_quiet_period_ends_in_time)
{
    const replica_ptr plain = add("p0", "dc1", "plain", 6);
    const replica_ptr engine = add("e0");
    const std::vector<std::string> tried{"p0", "e0"};
    const auto isExpected = [&](std::span<const std::string> excluded = {}) {
        const choice_query plainQuery{.service = "plain", .tried = excluded};
        const choice_query engineQuery{.service = "llm", .model = "m", .batchSize = 32, .tried = excluded};
        const replica_choice ofPlain = choosePlain(table, plainQuery, clock.now(), choiceRandom);
        const replica_choice ofEngines = chooseEngine(table, engineQuery, clock.now());
        BOOST_TEST((ofPlain.target == nullptr && ofEngines.target == nullptr));
        BOOST_TEST(ofPlain.hindered == ofEngines.hindered);
        return ofPlain.hindered;
    };
    clock.advance(std::chrono::seconds(1));
    BOOST_TEST(!isExpected(tried));
    plain->startQuietPeriod(std::chrono::milliseconds(1'400), clock.now());
    engine->startQuietPeriod(std::chrono::milliseconds(1'400), clock.now());
    BOOST_TEST(isExpected());
    BOOST_TEST(!isExpected(tried));
    plain->startQuietPeriod(std::chrono::milliseconds(1'600), clock.now());
    engine->startQuietPeriod(std::chrono::milliseconds(1'600), clock.now());
    BOOST_TEST(!isExpected());
    clock.advance(std::chrono::milliseconds(200));
    BOOST_TEST(isExpected());
    plain->record.leaving = true;
    engine->record.leaving = true;
    BOOST_TEST(!isExpected());
}

BOOST_AUTO_TEST_SUITE_END()
