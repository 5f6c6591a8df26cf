#include "fleet_simulation.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace medlarrack;
using namespace medlarrack::config_sync;
using namespace medlarrack::config_sync::tests;
using namespace std::chrono_literals;

namespace {

/// Time within which an accepted ticket must be in force everywhere.
constexpr auto inForceLimit = 6s;

/// Three data centres with ten sidecars each and one entry, ready with three tickets in force.
struct fleet : fleet_simulation
{
    fleet()
    {
        for (const char *name : {"osijek", "vinkovci", "dakovo"}) {
            addDataCentre(name, 10);
        }
        entry = &add("entry-0", "osijek", instances::instance_kind::entry);
        for (int count = 0; count < 3; ++count) {
            service.publish();
        }
        BOOST_REQUIRE(runUntil(
            [&] {
                return allReady() && allHave(3);
            },
            30s));
    }

    std::vector<member *> readersOf(const std::string &dataCentre)
    {
        std::vector<member *> readers;
        for (member *process : members()) {
            if (process->self.dataCentre == dataCentre && process->planner->isReader()) {
                readers.push_back(process);
            }
        }
        return readers;
    }

    member *entry = nullptr;
};

bool isReady(member &process, const fleet_simulation &simulation)
{
    return process.planner->ready(process.position(), simulation.now());
}

} // namespace

BOOST_FIXTURE_TEST_CASE(two_readers_of_each_data_centre_watch_and_the_others_learn_from_them, fleet)
{
    for (const char *name : {"osijek", "vinkovci", "dakovo"}) {
        BOOST_TEST(readersOf(name).size() == 2U);
    }
    run(5s);
    service.changesCalls = 0;
    run(60s);
    // Six readers, whose watches last 20 s each.
    BOOST_TEST(service.changesCalls <= 6U * 4U);
    BOOST_TEST(!entry->planner->isReader());
}

BOOST_FIXTURE_TEST_CASE(a_ticket_is_in_force_everywhere_in_time, fleet)
{
    auto longest = 0ms;
    for (int round = 0; round < 20; ++round) {
        const auto number = service.publish();
        const auto publishedAt = now();
        BOOST_TEST(runUntil(
            [&] {
                return allHave(number);
            },
            inForceLimit));
        longest = std::max(longest, std::chrono::duration_cast<std::chrono::milliseconds>(now() - publishedAt));
        run(std::chrono::milliseconds(137 * round));
    }
    BOOST_TEST_MESSAGE("longest time until in force everywhere: " << longest.count() << " ms");
    BOOST_TEST(!anyReverted());
}

BOOST_FIXTURE_TEST_CASE(a_stale_copy_of_one_data_centre_delays_but_never_reverts, fleet)
{
    service.staleAt["vinkovci"] = 1;
    const auto number = service.publish();
    BOOST_TEST(runUntil(
        [&] {
            return allHave(number);
        },
        inForceLimit));
    run(30s);
    BOOST_TEST(!anyReverted());
}

BOOST_FIXTURE_TEST_CASE(an_hour_without_the_service_changes_nothing_and_ends_in_time, fleet)
{
    service.up = false;
    service.changesCalls = 0;
    service.instancesCalls = 0;
    run(1h);
    BOOST_TEST(allReady());
    BOOST_TEST(allHave(3));
    const auto calls = service.changesCalls + service.instancesCalls;
    BOOST_TEST_MESSAGE("calls in the hour: " << calls);
    // 6 readers of tickets and 31 readers of the instance list, each with at most one call per 2 s.
    BOOST_TEST(calls < 3600U / 2U * 37U);
    service.up = true;
    const auto number = service.publish();
    BOOST_TEST(runUntil(
        [&] {
            return allHave(number);
        },
        inForceLimit));
    BOOST_TEST(!anyReverted());
}

BOOST_FIXTURE_TEST_CASE(a_process_that_starts_during_an_outage_can_learn_from_seeds, fleet)
{
    service.up = false;
    auto &fresh = add("late", "osijek");
    fresh.planner->setSeeds({{"dakovo-1", "127.0.0.1", 1}, {"vinkovci-4", "127.0.0.1", 1}});
    BOOST_TEST(runUntil(
        [&] {
            return isReady(fresh, *this);
        },
        2s));
    BOOST_TEST(fresh.slots() == 3U);
}

BOOST_FIXTURE_TEST_CASE(a_process_that_starts_against_a_stale_copy_serves_only_what_its_peers_have, fleet)
{
    service.staleAt["dakovo"] = 1;
    for (auto kind : {instances::instance_kind::sidecar, instances::instance_kind::entry}) {
        auto &fresh = add(kind == instances::instance_kind::entry ? "fresh-entry" : "fresh-sidecar", "dakovo", kind);
        BOOST_TEST(runUntil(
            [&] {
                return isReady(fresh, *this);
            },
            inForceLimit));
        BOOST_TEST(fresh.slots() == 3U);
        BOOST_TEST(!fresh.reverted);
    }
}

BOOST_FIXTURE_TEST_CASE(the_first_reader_of_a_new_data_centre_does_not_trust_its_stale_copy, fleet)
{
    service.staleAt["zupanja"] = 1;
    auto &fresh = add("zupanja-0", "zupanja");
    bool servedOldState = false;
    const auto readyWithState = [&] {
        const bool ready = isReady(fresh, *this);
        servedOldState |= ready && fresh.slots() != 3U;
        return ready;
    };
    BOOST_TEST(runUntil(readyWithState, inForceLimit));
    BOOST_TEST(fresh.planner->isReader());
    BOOST_TEST(!servedOldState);
}

BOOST_FIXTURE_TEST_CASE(a_third_that_starts_anew_against_a_stale_copy_waits_for_the_others_state, fleet)
{
    service.staleAt["dakovo"] = 1;
    for (int index = 0; index < 10; ++index) {
        at("dakovo-" + std::to_string(index)).paused = true;
    }
    fleet_simulation &simulation = *this;
    std::vector<member *> fresh;
    for (int index = 0; index < 10; ++index) {
        fresh.push_back(&simulation.add("dakovo-new-" + std::to_string(index), "dakovo"));
    }
    const auto checked = [&] {
        for (member *process : fresh) {
            BOOST_TEST((!isReady(*process, simulation) || process->slots() == 3U));
        }
        return allReady();
    };
    BOOST_TEST(runUntil(checked, 30s));
}

BOOST_FIXTURE_TEST_CASE(a_process_that_reaches_no_peer_waits_before_it_serves_the_services_state, fleet)
{
    service.staleAt["dakovo"] = 2;
    auto &fresh = add("lonely", "dakovo");
    fresh.partition = 1;
    run(4s);
    BOOST_TEST(!isReady(fresh, *this));
    BOOST_TEST(runUntil(
        [&] {
            return isReady(fresh, *this);
        },
        10s));
    BOOST_TEST(fresh.slots() == 2U);
    fresh.partition = 0;
    BOOST_TEST(runUntil(
        [&] {
            return fresh.slots() == 3U;
        },
        30s));
}

BOOST_FIXTURE_TEST_CASE(skipped_duplicated_and_reordered_tickets_end_in_the_same_state, fleet)
{
    service.shuffles = true;
    service.skipped = {5};
    for (int count = 0; count < 4; ++count) {
        service.publish();
    }
    BOOST_TEST(runUntil(
        [&] {
            return std::ranges::all_of(members(), [](auto *m) {
                return m->slots() == 7U;
            });
        },
        inForceLimit));
    BOOST_TEST(!allHave(5));
    service.changesCalls = 0;
    run(60s);
    // A gap that is never filled costs occasional requests, not a busy loop.
    BOOST_TEST(service.changesCalls < 6U * 10U);
    service.skipped.clear();
    BOOST_TEST(runUntil(
        [&] {
            return allHave(7);
        },
        60s));
    BOOST_TEST(!anyReverted());
}

BOOST_FIXTURE_TEST_CASE(a_data_centre_cut_off_catches_up_after_the_partition, fleet)
{
    for (member *process : members()) {
        if (process->self.dataCentre == "vinkovci") {
            process->partition = 1;
            process->serviceReachable = false;
        }
    }
    run(10min);
    const auto number = service.publish();
    run(30s);
    BOOST_TEST(at("vinkovci-3").slots() == 3U);
    BOOST_TEST(at("osijek-3").slots() == 4U);
    for (member *process : members()) {
        process->partition = 0;
        process->serviceReachable = true;
    }
    BOOST_TEST(runUntil(
        [&] {
            return allHave(number);
        },
        inForceLimit));
    BOOST_TEST(!anyReverted());
}

BOOST_FIXTURE_TEST_CASE(paused_readers_are_replaced_by_other_peers, fleet)
{
    for (member *reader : readersOf("osijek")) {
        reader->paused = true;
    }
    run(2s);
    const auto number = service.publish();
    BOOST_TEST(runUntil(
        [&] {
            return allHave(number);
        },
        inForceLimit));
    for (member *reader : readersOf("osijek")) {
        reader->paused = false;
    }
    BOOST_TEST(runUntil(
        [&] {
            return allHave(number);
        },
        inForceLimit));
    BOOST_TEST(!anyReverted());
}

BOOST_FIXTURE_TEST_CASE(a_process_that_was_paused_learns_the_state_before_it_serves_again, fleet)
{
    auto &paused = at("osijek-3");
    paused.paused = true;
    run(10min);
    service.publish();
    run(10s);
    paused.paused = false;
    bool servedOldState = false;
    BOOST_TEST(runUntil(
        [&] {
            const bool ready = isReady(paused, *this);
            servedOldState |= ready && paused.slots() == 3U;
            return ready && paused.slots() == 4U;
        },
        inForceLimit));
    BOOST_TEST(!servedOldState);
}

BOOST_FIXTURE_TEST_CASE(a_number_heard_in_a_message_is_fetched_from_its_sender, fleet)
{
    service.staleAt["osijek"] = 3;
    const auto number = service.publish();
    BOOST_REQUIRE(runUntil(
        [&] {
            return at("dakovo-0").state->contiguous() == number;
        },
        inForceLimit));
    if (entry->state->contiguous() < number) {
        entry->planner->onTicketReported(number, peer_ref{"dakovo-0", "127.0.0.1", 1}, entry->position(), now());
        BOOST_TEST(runUntil(
            [&] {
                return entry->state->contiguous() == number;
            },
            200ms));
    }
}

BOOST_AUTO_TEST_CASE(a_fleet_that_starts_from_nothing_is_ready_soon)
{
    fleet_simulation simulation;
    simulation.service.publish();
    for (const char *name : {"osijek", "vinkovci"}) {
        simulation.addDataCentre(name, 9);
    }
    simulation.add("entry-0", "osijek", instances::instance_kind::entry);
    BOOST_TEST(simulation.runUntil(
        [&] {
            return simulation.allReady() && simulation.allHave(1);
        },
        3s));
}

BOOST_AUTO_TEST_CASE(one_entry_without_any_sidecar_reads_the_service_itself)
{
    fleet_simulation simulation;
    simulation.service.publish();
    simulation.add("entry-0", "osijek", instances::instance_kind::entry);
    BOOST_TEST(simulation.runUntil(
        [&] {
            return simulation.allReady() && simulation.allHave(1);
        },
        1s));
}
