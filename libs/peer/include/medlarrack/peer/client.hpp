#pragma once

#include <medlarrack/peer/messages.hpp>

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tuple>

namespace medlarrack::peer {

/// Where a process listens for its peers.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const endpoint &) const = default;
    bool operator<(const endpoint &other) const
    {
        return std::tie(address, port) < std::tie(other.address, other.port);
    }
};

/// How a stream ended, and what that proves.
enum class stream_end {
    /// The peer ended the stream in order.
    finished,
    /// Proven that the peer processed nothing of it: never written, refused, or above GOAWAY's last stream.
    not_processed,
    /// Reset or connection lost after the request may have arrived.
    broken,
    /// Cancelled by this side.
    cancelled,
};

/// Called on a thread that runs the io_context, never at the same time for one stream.
struct stream_callbacks
{
    std::function<void(message)> onMessage;
    /// Once, last.
    std::function<void(stream_end, const std::string &detail)> onEnd;
};

/// Limits of a peer client.
struct client_limits
{
    /// Connections open at once; the one unused for longest makes room.
    std::size_t maxConnections = 512;
    std::chrono::milliseconds connectTimeout{500};
    /// An unused connection is closed after this time.
    std::chrono::milliseconds idleTimeout{60'000};
    /// A peer that stays silent for this time, pings included, while it owes an answer is taken for lost.
    std::chrono::milliseconds lossTimeout{3'000};
};

/// Opens streams to other processes over one kept connection each, opened at first use.
class client
{
public:
    using stream_id = std::uint64_t;

    client(asio::io_context &context, client_limits limits, std::function<hello()> self);
    ~client();
    client(const client &) = delete;
    client &operator=(const client &) = delete;

    /// Called whenever a peer says hello, on a thread that runs the io_context.
    void onHello(std::function<void(const endpoint &, const hello &)> callback);
    /// Starts a stream with its request message; thread-safe.
    stream_id start(const endpoint &to, const message &request, stream_callbacks callbacks);
    /// Resets the stream; onEnd follows with cancelled unless it has been called. Thread-safe.
    void cancel(stream_id stream);
    /// Grants the peer no more bytes of this stream until resume(); at most one flow control window (1 MiB) still
    /// arrives. Other streams go on. Thread-safe.
    void pause(stream_id stream);
    /// Takes back pause(). Thread-safe.
    void resume(stream_id stream);
    /// Connections open now.
    [[nodiscard]] std::size_t connections() const;
    /// Closes everything; open streams end as far as the io_context still runs, and none starts afterwards.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::peer
