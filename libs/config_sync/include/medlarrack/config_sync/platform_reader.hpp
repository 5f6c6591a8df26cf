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

/// Receives a peer's answer; nothing when it gave none in time.
using peer_answer_handler = std::function<void(std::optional<peer::tickets_reply>)>;

/// Called on a thread that runs the io_context, one at a time. Any may be empty.
struct reader_callbacks
{
    /// A ticket was refused whole; the state in force stays.
    std::function<void(std::string_view text, const std::vector<tickets::ticket_fault> &faults)> onMalformed;
    /// Tickets were put in force.
    std::function<void()> onTickets;
    /// The instance list changed.
    std::function<void()> onInstances;
    /// Sends a tickets_request to a peer. Without it every process reads the service itself.
    std::function<void(const peer_ref &peer, const peer::tickets_request &request, peer_answer_handler handler)>
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
    /// Drops what is under way and waits for a callback that runs on another thread; none runs afterwards. Not to be
    /// called with a mutex held that callbacks take.
    void stop();

    /// Whether the state in force has been learnt; a process serves only while this is true.
    [[nodiscard]] bool ready() const;
    /// A message of another process named its newest ticket. The sender's instance id may be empty.
    void noteNewest(std::uint64_t newestTicket, std::string_view senderId);
    /// Answers a peer's question from the tables of this process.
    [[nodiscard]] peer::tickets_reply answer(const peer::tickets_request &request) const;
    [[nodiscard]] reader_status status() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::config_sync
