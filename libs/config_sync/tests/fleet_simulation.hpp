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

/// Planners with real ticket tables under manual time, joined by a fake service and by direct calls in place of peers'
/// connections.
namespace medlarrack::config_sync::tests {

/// The platform's service: tickets, their copy per data centre, counted calls.
class fake_service
{
public:
    /// Adds a ticket that sets the slots of group "g" to its own number.
    std::uint64_t publish();
    /// The newest ticket that a data centre's copy shows.
    [[nodiscard]] std::uint64_t newestAt(const std::string &dataCentre) const;
    /// An answer to GET /v1/changes.
    [[nodiscard]] std::string changes(const std::string &dataCentre, std::uint64_t after) const;

    bool up = true;
    bool throttles = false;
    /// Copies that don't go on.
    std::map<std::string, std::uint64_t> staleAt;
    /// Numbers that answers leave out.
    std::set<std::uint64_t> skipped;
    /// Answers give tickets in descending order and each twice.
    bool shuffles = false;
    std::uint64_t changesCalls = 0;
    std::uint64_t instancesCalls = 0;

private:
    std::vector<std::string> m_published;
};

/// One process.
struct member
{
    instances::instance self;
    std::unique_ptr<tickets::state> state;
    std::unique_ptr<update_planner> planner;
    /// Not run at all: it asks nothing and its peers' questions time out.
    bool paused = false;
    bool seesService = true;
    /// Members with different sides don't reach each other.
    int side = 0;
    /// A watch that waits: after which number, until when.
    std::optional<std::pair<std::uint64_t, core::monotonic_time>> watch;
    /// Largest slots value of group "g" seen, to notice one that reverts.
    std::uint32_t largestSlots = 0;
    bool reverted = false;

    [[nodiscard]] std::uint32_t slots() const;
    [[nodiscard]] ticket_position position() const;
};

class planner_world
{
public:
    explicit planner_world(planner_settings settings = {});

    /// Adds a process; it starts now. A sidecar is also listed.
    member &add(const std::string &id, const std::string &dataCentre,
                instances::instance_kind kind = instances::instance_kind::sidecar);
    /// Adds a process that listOnly() has listed or that stays unlisted; it starts now.
    member &addUnlisted(const std::string &id, const std::string &dataCentre, instances::instance_kind kind);
    /// Adds sidecars "<data centre>-0" and so on, listed before the first of them starts.
    void addDataCentre(const std::string &dataCentre, std::size_t sidecars);
    /// Lists a sidecar that isn't run here.
    void listOnly(const std::string &id, const std::string &dataCentre);
    [[nodiscard]] member &at(const std::string &id)
    {
        return *m_members.at(id);
    }
    /// Runs all members.
    void run(std::chrono::milliseconds time);
    /// Runs until the condition holds; false when it doesn't within the limit.
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);
    [[nodiscard]] bool allReady();
    /// Whether every member that is run has applied all tickets up to the number.
    [[nodiscard]] bool allHave(std::uint64_t number) const;
    [[nodiscard]] bool anyReverted() const;
    [[nodiscard]] std::vector<member *> members();
    [[nodiscard]] core::monotonic_time now() const
    {
        return m_now;
    }

    fake_service service;
    std::uint64_t peerQuestions = 0;

private:
    void start(const std::string &id);
    void step();
    void drive(member &process);
    void run(member &process, const read_changes &call);
    void run(member &process, const read_instances &call);
    void run(member &process, const ask_peer &question);
    void answerWatch(member &process);
    void giveChanges(member &process, std::uint64_t after);
    void later(std::chrono::milliseconds wait, std::function<void()> event);
    void check(member &process) const;

    planner_settings m_settings;
    core::monotonic_time m_now{std::chrono::hours(1)};
    instances::instance_list m_list;
    std::map<std::string, std::unique_ptr<member>> m_members;
    std::multimap<core::monotonic_time, std::function<void()>> m_events;
};

} // namespace medlarrack::config_sync::tests
