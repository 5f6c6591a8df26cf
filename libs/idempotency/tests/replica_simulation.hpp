#pragma once

#include <medlarrack/idempotency/key_registry.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarrack::idempotency::tests {

/// Deterministic simulation of the replicas of one service with their instance lists, messages and runs. Each step is
/// selected by a pair of numbers. Lists are read late; messages are delayed, reordered or lost; processes pause, crash,
/// restart under the same id, or are removed from the list while they still run; new ones start. Clocks differ by up to
/// the default clock skew margin.
class replica_simulation
{
public:
    explicit replica_simulation(settings options, bool opaqueKeys = false);

    /// Performs one step. All numbers are valid.
    void step(std::uint32_t kind, std::uint32_t selector);
    /// Publishes a list and lets all replicas read it, delivers all messages and completes all started runs, without
    /// faults.
    void settle();
    /// Advances the time of all replicas and publishes a list.
    void advance(std::chrono::milliseconds by);
    /// Submits a new unbound key to the selected replica if it is running. Returns the key.
    std::string submitUnbound(std::uint32_t selector);
    /// Submits a new key bound to the selected replica to that replica if it is running. Returns the key.
    std::string submitBound(std::uint32_t selector);
    /// Stops a replica, which stays in the instance list.
    void crash(std::uint32_t selector);
    /// Stops a replica, removes it from the instance list and starts another one.
    void replace(std::uint32_t selector);
    /// Delivers all messages and completes all started runs without reading lists.
    void deliverAll();
    /// Drops all messages and lets the seal timeout of all replicas expire.
    void expireSeals();

    /// Keys that ran more than once, or that ran although a caller was told "not_run".
    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::size_t totalRuns() const;
    [[nodiscard]] int runsOf(const std::string &key) const;

private:
    struct replica
    {
        std::string id;
        std::unique_ptr<key_registry> registry;
        std::uint64_t incarnation = 0;
        std::chrono::milliseconds clockSkew{0};
        std::size_t lastListRead = 0;
        bool alive = true;
        bool listed = true;
    };
    struct published_list
    {
        core::wall_time asOf{};
        std::vector<std::string> ids;
    };
    struct wire_message
    {
        std::string from;
        std::uint64_t fromIncarnation = 0;
        std::string to;
        std::string key;
        std::optional<seal> reply;
    };
    struct started_run
    {
        std::string id;
        std::uint64_t incarnation = 0;
        std::string key;
    };

    replica &replicaAt(std::uint32_t selector);
    replica *find(const std::string &id);
    [[nodiscard]] core::wall_time clockOf(const replica &member) const;
    void startReplica();
    void startProcess(replica &member);
    void publishList();
    void readList(replica &member, std::size_t index);
    void submit(replica &member, const std::string &key);
    void resend(std::uint32_t selector);
    void deliverMessage(std::size_t index);
    void loseMessage(std::size_t index);
    void executeRun(std::size_t index, std::uint32_t resultSelector);
    void advanceRandomly(std::uint32_t selector);
    void loseOrTimeOut(replica &member, std::uint32_t selector);
    void crashOrRestart(replica &member, std::uint32_t selector);
    void removeFromList(replica &member, std::uint32_t selector);
    void perform(replica &member, const action_list &actions);
    std::string makeKey(std::uint32_t selector);

    settings m_options;
    bool m_opaqueKeys = false;
    core::wall_time m_now;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_nextKey = 1;
    std::vector<replica> m_replicas;
    std::vector<published_list> m_lists;
    std::vector<wire_message> m_messages;
    std::vector<started_run> m_startedRuns;
    std::vector<std::string> m_keys;
    std::map<std::string, int> m_runs;
    std::set<std::string> m_reportedNotRun;
    std::map<waiter_id, std::string> m_waiters;
};

} // namespace medlarrack::idempotency::tests
