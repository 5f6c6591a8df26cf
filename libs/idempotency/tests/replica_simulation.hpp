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

/// Replicas of one service, their instance list, their messages and the service's count of runs, all moved by numbered
/// steps. Lists are read late, messages arrive late, crossed or never, processes pause at any point, crash, restart in
/// place, are removed from the list while they still run, and new ones start; clocks differ within the guard.
class replica_simulation
{
public:
    explicit replica_simulation(settings options, bool opaqueKeys = false);

    /// Does one step; any numbers are valid.
    void step(std::uint32_t kind, std::uint32_t choice);
    /// Reads the newest list, delivers all messages and runs everything that was started, without faults.
    void settle();
    /// Lets time pass at all replicas.
    void advance(std::chrono::milliseconds by);
    /// Submits a key made now to a replica that runs. Returns the key.
    std::string submitFresh(std::uint32_t choice);
    /// Submits a key made now and bound to a replica that runs, to that replica. Returns the key.
    std::string submitBound(std::uint32_t choice);
    /// Kills a replica; its list entry stays.
    void crash(std::uint32_t choice);
    /// Kills a replica, takes it off the list and starts another one.
    void replace(std::uint32_t choice);
    /// Delivers all messages and runs everything that was started; lists are read only when told.
    void exchange();
    /// Gives up on replicas that don't answer.
    void expireSeals();

    /// Keys run more than once, or run though a caller was told that they were not.
    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::size_t totalRuns() const;
    [[nodiscard]] int runsOf(const std::string &key) const;

private:
    struct replica
    {
        std::string id;
        std::unique_ptr<key_registry> registry;
        std::uint64_t incarnation = 0;
        std::chrono::milliseconds skew{0};
        std::size_t listRead = 0;
        bool alive = true;
        bool listed = true;
    };
    struct list
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

    replica &choose(std::uint32_t choice);
    replica *find(const std::string &id);
    [[nodiscard]] core::wall_time clockOf(const replica &at) const;
    void startReplica();
    void restart(replica &at);
    void publishList();
    void readList(replica &at, std::size_t index);
    void submit(replica &at, const std::string &key);
    void resend(std::uint32_t choice);
    void deliver(std::size_t index);
    void lose(std::size_t index);
    void execute(std::size_t index, std::uint32_t fate);
    void waitSome(std::uint32_t choice);
    void loseOrTimeOut(replica &at, std::uint32_t choice);
    void crashOrRestart(replica &at, std::uint32_t choice);
    void removeFromList(replica &at, std::uint32_t choice);
    void take(replica &at, const action_list &actions);
    std::string makeKey(std::uint32_t choice);

    settings m_options;
    bool m_opaqueKeys = false;
    core::wall_time m_now;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_nextKey = 1;
    std::vector<replica> m_replicas;
    std::vector<list> m_lists;
    std::vector<wire_message> m_messages;
    std::vector<started_run> m_started;
    std::vector<std::string> m_keys;
    std::map<std::string, int> m_runs;
    std::set<std::string> m_saidNotRun;
    std::map<waiter_id, std::string> m_waiters;
};

} // namespace medlarrack::idempotency::tests
