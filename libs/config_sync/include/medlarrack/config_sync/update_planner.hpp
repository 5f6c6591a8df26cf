#pragma once

#include <medlarrack/config_sync/planner_settings.hpp>
#include <medlarrack/config_sync/reader_choice.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/instances/view.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace medlarrack::config_sync {

/// How far a process's tickets reach.
struct ticket_position
{
    /// Nothing up to this number is missing.
    std::uint64_t contiguous = 0;
    /// Largest number known.
    std::uint64_t newest = 0;
};

/// Read the service's tickets after a number, waiting for one.
struct read_changes
{
    std::uint64_t after = 0;
    std::chrono::milliseconds wait{0};
};

/// Read the instance list.
struct read_instances
{
};

/// Ask a peer for its tickets after a number.
struct ask_peer
{
    peer_ref peer;
    std::uint64_t after = 0;
};

using update_action = std::variant<read_changes, read_instances, ask_peer>;

/// How a call of the service ended.
enum class call_result {
    answered,
    /// Answered, and more tickets follow those given.
    answered_in_part,
    /// Refused because there were too many calls.
    throttled,
    failed,
};

/// How a question to a peer ended.
enum class peer_result {
    /// The peer has learnt the state in force and sent all that it has.
    whole,
    /// The peer sent a part; the rest is there for the asking.
    part,
    /// The peer answered but has not learnt the state in force itself.
    unsure,
    failed,
};

/// Decides when a process reads the platform's service, when it asks which peer, and when it knows enough to serve.
/// Pure: takes events with the time and returns actions. Not thread-safe.
class update_planner
{
public:
    /// Peers are asked only when askPeers is set; without them every process reads the service. The seed drives the
    /// jitter.
    update_planner(const planner_settings &settings, instances::instance self, bool askPeers, std::uint64_t seed,
                   core::monotonic_time now);
    ~update_planner();
    update_planner(const update_planner &) = delete;
    update_planner &operator=(const update_planner &) = delete;

    /// Peers to ask while there is no instance list.
    void setSeeds(std::vector<peer_ref> seeds);
    /// A read of the instance list ended; the list in force is given when it was answered.
    void onInstances(call_result result, const instances::instance_list *current, core::monotonic_time now);
    /// A read of tickets ended; position is after it.
    void onChanges(call_result result, const ticket_position &position, core::monotonic_time now);
    /// A question to a peer ended; position is after it.
    void onPeer(std::string_view peerId, peer_result result, const ticket_position &position, core::monotonic_time now);
    /// A message from another process named a ticket; the sender is given when it can be asked.
    void onHeard(std::uint64_t newestTicket, const std::optional<peer_ref> &sender, const ticket_position &position,
                 core::monotonic_time now);

    /// What is due now. Each action is answered by one of the events above.
    [[nodiscard]] std::vector<update_action> next(const ticket_position &position, core::monotonic_time now);
    /// When to call next() again at the latest.
    [[nodiscard]] core::monotonic_time due() const;

    /// Whether the state in force has been learnt. Goes back to false only after a pause of this process.
    [[nodiscard]] bool ready(const ticket_position &position, core::monotonic_time now);
    /// Whether this process watches the service for its data centre.
    [[nodiscard]] bool reads() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::config_sync
