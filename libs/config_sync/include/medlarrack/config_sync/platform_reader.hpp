#pragma once

#include <medlarrack/config_sync/reader_settings.hpp>
#include <medlarrack/config_sync/reader_status.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/instances/view.hpp>
#include <medlarrack/peer/messages.hpp>
#include <medlarrack/tickets/state.hpp>

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace medlarrack::http {
class client;
}

namespace medlarrack::config_sync {

/// Receives a peer's reply, or nullopt when the query failed or timed out.
using peer_reply_handler = std::function<void(std::optional<peer::tickets_reply>)>;

/// Called on a thread that runs the io_context, never concurrently. Any may be empty.
struct reader_callbacks
{
    /// A malformed ticket was rejected as a whole; the state in force is unchanged.
    std::function<void(std::string_view text, const std::vector<tickets::ticket_fault> &faults)> onMalformed;
    /// Tickets were put in force.
    std::function<void()> onTickets;
    /// The instance list changed.
    std::function<void()> onInstances;
    /// Sends a tickets_request to a peer. Without it the process always reads the service itself.
    std::function<void(const peer_ref &peer, const peer::tickets_request &request, peer_reply_handler handler)>
        queryPeer;
};

/// Keeps the ticket tables and the instance view of a process up to date from the platform's service and from peers.
/// Thread-safe. Its mutex comes first in the lock order and is held while callbacks run.
class platform_reader
{
public:
    platform_reader(asio::io_context &context, http::client &client, reader_settings settings, tickets::state &state,
                    instances::view &view, const core::clock &clock, reader_callbacks callbacks);
    /// Stops.
    ~platform_reader();
    platform_reader(const platform_reader &) = delete;
    platform_reader &operator=(const platform_reader &) = delete;

    void start();
    /// Abandons calls in flight and waits for a callback that is running on another thread; none runs afterwards. Must
    /// not be called while holding a mutex that a callback locks.
    void stop();

    /// Whether the state in force is known; a process serves only while this is true.
    [[nodiscard]] bool ready() const;
    /// Reports the newest ticket number found in a message from another process. The sender's instance id may be empty.
    void noteNewest(std::uint64_t newestTicket, std::string_view senderId);
    /// Answers a peer's query from the tables of this process.
    [[nodiscard]] peer::tickets_reply answer(const peer::tickets_request &request) const;
    [[nodiscard]] reader_status status() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::config_sync
