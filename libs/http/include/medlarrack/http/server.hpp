#pragma once

#include <medlarrack/core/byte_budget.hpp>
#include <medlarrack/core/reason.hpp>

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace medlarrack::http {

class responder;
struct request;

/// Limits of a server. Breaking one gets the caller an error or a closed connection; other callers notice nothing.
struct server_limits
{
    /// Largest body in bytes; a larger one is answered with status 413.
    std::size_t maxBodyBytes = 1U << 20U;
    /// Largest sum of header names and values in bytes; more is answered with status 431.
    std::size_t maxHeaderBytes = 16U << 10U;
    /// Connections open at once. Beyond, the oldest one that has sent no whole head for a while is closed to make room;
    /// if there is none, the new one is.
    std::size_t maxConnections = 4096;
    /// Time to receive a whole request from the end of the response before it, so also how long an idle connection is
    /// kept; at least 2 s. Responses state less than that.
    std::chrono::milliseconds readTimeout{10'000};
    /// Time for a peer to take what is written to it.
    std::chrono::milliseconds writeTimeout{10'000};
    /// Bytes buffered for a slow reader before its stream is broken off.
    std::size_t maxBufferedBytes = 4U << 20U;
    /// Counts bodies and responses if set. Bodies without room wait to be read; those that stand still or wait for long
    /// are answered with status 503, and peers that take none of their response are closed.
    std::shared_ptr<core::byte_budget> budget = nullptr;
};

/// Called once for each whole request, on a worker thread of the io_context. The responder may be kept and used later
/// from any thread.
using request_handler = std::function<void(request, std::shared_ptr<responder>)>;

/// HTTP/1.1 server over an io_context that the caller runs, on one thread or several.
class server
{
public:
    server(asio::io_context &context, server_limits limits, request_handler handler);
    ~server();
    server(const server &) = delete;
    server &operator=(const server &) = delete;

    /// Binds and listens. Port 0 takes a free port. False with a reason when the address can't be bound.
    [[nodiscard]] bool start(const std::string &address, std::uint16_t port, core::reason &why);
    /// The port bound.
    [[nodiscard]] std::uint16_t port() const;
    /// Stops accepting connections; requests in progress go on, and each connection ends with its next response.
    void stopAccepting();
    /// Closes everything.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::http
