#pragma once

#include <medlarrack/core/byte_budget.hpp>
#include <medlarrack/core/reason.hpp>
#include <medlarrack/peer/messages.hpp>

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace medlarrack::peer {

class reply_stream;

/// Called once per stream with its first message, on a thread that runs the io_context. Not called again for the
/// stream. The reply stream may be kept and used from any thread.
using stream_handler = std::function<void(const hello &from, message request, std::shared_ptr<reply_stream> reply)>;

/// Limits of a peer server.
struct server_limits
{
    /// Beyond, the oldest connection that has opened no stream for a while is closed to make room; if there is none,
    /// the new one is.
    std::size_t maxConnections = 4096;
    std::uint32_t maxStreamsPerConnection = 1024;
    /// Bytes of incomplete requests held per connection; a stream that exceeds them is refused.
    std::size_t maxPendingRequestBytes = 64U << 20U;
    /// A client that stays silent for this time, pings included, while it has streams open is taken for lost.
    std::chrono::milliseconds lossTimeout{3'000};
    /// A connection without streams is closed after this time.
    std::chrono::milliseconds idleTimeout{120'000};
    /// A stream whose request isn't complete after this time is refused.
    std::chrono::milliseconds requestTimeout{15'000};
    /// Counts requests that are being received and replies if set. Streams without room are refused, and connections
    /// whose peer takes none of its replies are closed.
    std::shared_ptr<core::byte_budget> budget = nullptr;
};

/// Accepts connections of other processes: HTTP/2 with prior knowledge, one stream per request message.
class server
{
public:
    /// The hello is asked for at every connection and whenever it is sent.
    server(asio::io_context &context, server_limits limits, std::function<hello()> self, stream_handler handler);
    ~server();
    server(const server &) = delete;
    server &operator=(const server &) = delete;

    [[nodiscard]] bool start(const std::string &address, std::uint16_t port, core::reason &why);
    [[nodiscard]] std::uint16_t port() const;
    /// Stops listening and sends GOAWAY on all connections: no new streams; those in progress go on. Each connection
    /// closes when its last stream has ended. To cut off no answer, wait for connections() to reach zero before stop().
    void drain();
    /// Streams handed to the handler whose end isn't yet written to the socket.
    [[nodiscard]] std::size_t streams() const;
    /// Connections open now.
    [[nodiscard]] std::size_t connections() const;
    /// Closes everything.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::peer
