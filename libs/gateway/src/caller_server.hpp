#pragma once

#include "caller_connection.hpp"
#include "exchange_services.hpp"

#include <medlarrack/core/reason.hpp>
#include <medlarrack/overload/log_rate.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::gateway {

/// Accepts callers' connections.
class caller_server
{
public:
    caller_server(asio::io_context &context, exchange_services &services);
    ~caller_server();

    [[nodiscard]] bool listen(const asio::ip::tcp::endpoint &at, core::reason &why);
    [[nodiscard]] std::uint16_t port() const;
    void tick(core::monotonic_time now);
    /// Connections beyond this number wait to be accepted. Those without a whole head are closed to make room.
    void setMaxConnections(std::size_t count);
    /// Closes each connection after its next response, whose head says so; new ones are still accepted.
    void drain();
    /// Requests that come from this time on are refused.
    void refuseRequestsFrom(core::monotonic_time time);
    /// Stops accepting connections, apart from those that wait to be accepted, and closes those without a request.
    /// Requests that come on the others later than half a second from now are refused.
    void close();
    /// Answers or refuses the requests in progress and closes their connections, as the process is about to end. Called
    /// again until all are closed.
    void endRequests(std::string_view code, std::string_view why);
    /// Connections whose descriptors are open.
    [[nodiscard]] std::size_t size() const;
    /// Connections with a request in progress.
    [[nodiscard]] std::size_t busy() const;
    /// Bytes that are kept for callers apart from long bodies, which the account of the process counts, by address.
    [[nodiscard]] std::map<std::string, std::size_t, std::less<>> smallBytesByAddress() const;
    /// Bytes of answers that callers have yet to take.
    [[nodiscard]] std::size_t untakenBytes() const;
    /// Connections whose next pipelined request isn't begun until the caller takes its answers.
    [[nodiscard]] std::size_t awaitingCallers() const;
    /// Whether no connection has a request in progress, or bytes of one that weren't read yet.
    [[nodiscard]] bool isDrained() const;
    /// Whether all callers have got their last bytes and have closed too.
    [[nodiscard]] bool isEmpty() const;

private:
    void accept();
    /// Accepts the connections that the system has already made.
    void acceptWaiting();
    void addConnection(asio::ip::tcp::socket socket);
    /// Goes on accepting if it has stopped for want of room and there is room now.
    void resumeAccepting();
    /// Whether there is room for one connection more, perhaps because another one was closed for it.
    [[nodiscard]] bool makeRoom();
    /// Counts what is kept for callers, and turns those away that hold the most or stand still if there is no room.
    void relieveMemory(core::monotonic_time now);
    /// Turns away the slowest and the largest heads while those that are being received hold more than their share.
    void refuseHeads(core::monotonic_time now);
    void recordPlaces();
    void recordTurnedAway(std::string_view code, std::string_view why, const caller_connection &connection,
                          std::size_t bytes);

    asio::io_context &m_context;
    exchange_services &m_services;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptRetryTimer;
    std::vector<std::shared_ptr<caller_connection>> m_connections;
    std::optional<core::monotonic_time> m_refuseFrom;
    bool m_draining = false;
    bool m_closing = false;
    std::size_t m_maxConnections = std::numeric_limits<std::size_t>::max();
    bool m_awaitsRoom = false;
    overload::log_rate m_logRate;
    std::shared_ptr<refusal_log_rates> m_refusalLogRates;
    /// Expires with the server, for handlers that may run later.
    std::shared_ptr<caller_server> m_self{this, [](caller_server *) {}};
};

} // namespace medlarrack::gateway
