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

/// Ticket numbers known to a process.
struct ticket_position
{
    /// Largest number up to which no ticket is missing.
    std::uint64_t contiguous = 0;
    /// Largest number known.
    std::uint64_t newest = 0;
};

/// Reads the service's tickets after a number; with a wait, as a long poll.
struct read_changes
{
    std::uint64_t after = 0;
    std::chrono::milliseconds wait{0};
};

/// Reads the instance list.
struct read_instances
{
};

/// Queries a peer for its tickets after a number.
struct query_peer
{
    peer_ref peer;
    std::uint64_t after = 0;
};

using update_action = std::variant<read_changes, read_instances, query_peer>;

/// Result of a call to the service.
enum class call_result {
    answered,
    /// Answered with a page of tickets; more follow.
    partial,
    /// Rejected because of too many calls.
    throttled,
    failed,
};

/// Result of a query to a peer.
enum class peer_result {
    /// The peer is ready and has sent all its tickets after the number.
    complete,
    /// The peer has sent a page of tickets; more follow.
    partial,
    /// The peer answered but isn't ready itself.
    not_ready,
    failed,
};

/// Decides when a process reads the platform's service, when it queries which peer, and when it is ready to serve.
/// Performs no I/O: takes timestamped events and returns actions. Not thread-safe.
class update_planner
{
public:
    /// Peers are queried only when usePeers is set; otherwise every process reads the service. The seed initializes the
    /// random source of the jitter.
    update_planner(const planner_settings &settings, instances::instance self, bool usePeers, std::uint64_t seed,
                   core::monotonic_time now);
    ~update_planner();
    update_planner(const update_planner &) = delete;
    update_planner &operator=(const update_planner &) = delete;

    /// Sets the peers to query while there is no instance list.
    void setSeeds(std::vector<peer_ref> seeds);
    /// Handles the end of a read of the instance list; current is the list in force when the read was answered.
    void onInstances(call_result result, const instances::instance_list *current, core::monotonic_time now);
    /// Handles the end of a read of tickets; position includes its tickets.
    void onChanges(call_result result, const ticket_position &position, core::monotonic_time now);
    /// Handles the end of a query to a peer; position includes its tickets.
    void onPeer(std::string_view peerId, peer_result result, const ticket_position &position, core::monotonic_time now);
    /// Handles a ticket number reported by another process; sender is set when it can be queried.
    void onTicketReported(std::uint64_t newestTicket, const std::optional<peer_ref> &sender,
                          const ticket_position &position, core::monotonic_time now);

    /// Returns the actions that are due. The end of each action is reported by one of the handlers above.
    [[nodiscard]] std::vector<update_action> next(const ticket_position &position, core::monotonic_time now);
    /// Latest time at which next() must be called again.
    [[nodiscard]] core::monotonic_time due() const;

    /// Whether the state in force is known. Reverts to false only after this process was paused.
    [[nodiscard]] bool ready(const ticket_position &position, core::monotonic_time now);
    /// Whether this process watches the service for its data centre.
    [[nodiscard]] bool isReader() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::config_sync
