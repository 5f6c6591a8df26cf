#pragma once

#include "service_answers.hpp"

#include <medlarrack/config_sync/update_planner.hpp>
#include <medlarrack/tickets/state.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Simulates a fleet of planners with real ticket tables under manual time, with a fake service and with direct calls
/// in place of peer connections.
namespace medlarrack::config_sync::tests {

/// Fake of the platform's service, with a copy of the tickets per data centre and call counters.
class fake_service
{
public:
    /// Publishes a ticket that sets the slots of group "g" to its own number and returns that number.
    std::uint64_t publish();
    /// Newest ticket in a data centre's copy.
    [[nodiscard]] std::uint64_t newestAt(const std::string &dataCentre) const;
    /// Body of the answer to GET /v1/changes.
    [[nodiscard]] std::string changes(const std::string &dataCentre, std::uint64_t after) const;

    bool up = true;
    bool throttles = false;
    /// Newest ticket of each data centre's copy that is no longer updated.
    std::map<std::string, std::uint64_t> staleAt;
    /// Numbers that answers omit.
    std::set<std::uint64_t> skipped;
    /// Whether answers contain each ticket twice and in descending order.
    bool shuffles = false;
    std::uint64_t changesCalls = 0;
    std::uint64_t instancesCalls = 0;

private:
    std::vector<std::string> m_published;
};

/// A simulated process.
struct member
{
    instances::instance self;
    std::unique_ptr<tickets::state> state;
    std::unique_ptr<update_planner> planner;
    /// Paused: sends nothing, and queries to it time out.
    bool paused = false;
    bool serviceReachable = true;
    /// Network partition; members of different partitions can't reach each other.
    int partition = 0;
    /// Open watch: the number after which it waits, and its deadline.
    std::optional<std::pair<std::uint64_t, core::monotonic_time>> watch;
    /// Largest slots value of group "g" seen, to detect a revert.
    std::uint32_t largestSlots = 0;
    bool reverted = false;

    [[nodiscard]] std::uint32_t slots() const;
    [[nodiscard]] ticket_position position() const;
};

class fleet_simulation
{
public:
    explicit fleet_simulation(planner_settings settings = {});

    /// Adds and starts a process. A sidecar is also added to the instance list.
    member &add(const std::string &id, const std::string &dataCentre,
                instances::instance_kind kind = instances::instance_kind::sidecar);
    /// Adds and starts a process without changing the instance list.
    member &addUnlisted(const std::string &id, const std::string &dataCentre, instances::instance_kind kind);
    /// Adds the sidecars "<data centre>-0" and so on; all are listed before any of them runs.
    void addDataCentre(const std::string &dataCentre, std::size_t sidecars);
    /// Adds a sidecar to the instance list without starting it.
    void listOnly(const std::string &id, const std::string &dataCentre);
    [[nodiscard]] member &at(const std::string &id)
    {
        return *m_members.at(id);
    }
    /// Advances the simulated time.
    void run(std::chrono::milliseconds time);
    /// Advances the simulated time until the condition holds. Returns false when it doesn't within the limit.
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);
    [[nodiscard]] bool allReady();
    /// Whether every member that isn't paused has applied all tickets up to the number.
    [[nodiscard]] bool allHave(std::uint64_t number) const;
    [[nodiscard]] bool anyReverted() const;
    [[nodiscard]] std::vector<member *> members();
    [[nodiscard]] core::monotonic_time now() const
    {
        return m_now;
    }

    fake_service service;
    std::uint64_t peerQueries = 0;

private:
    void start(const std::string &id);
    void step();
    void runPlanner(member &process);
    void run(member &process, const read_changes &call);
    void run(member &process, const read_instances &call);
    void run(member &process, const query_peer &query);
    void answerWatch(member &process);
    void applyServiceChanges(member &process, std::uint64_t after);
    void schedule(std::chrono::milliseconds wait, std::function<void()> event);
    void check(member &process) const;

    planner_settings m_settings;
    core::monotonic_time m_now{std::chrono::hours(1)};
    instances::instance_list m_list;
    std::map<std::string, std::unique_ptr<member>> m_members;
    std::multimap<core::monotonic_time, std::function<void()>> m_events;
};

} // namespace medlarrack::config_sync::tests
