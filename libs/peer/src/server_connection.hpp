#pragma once

#include "connection.hpp"
#include "server_stream.hpp"

#include <medlarrack/peer/server.hpp>

#include <atomic>
#include <optional>
#include <unordered_map>

namespace medlarrack::peer::detail {

/// What a connection asks of its server. Called on the connection's strand, without any lock held.
class server_owner
{
public:
    server_owner() = default;
    server_owner(const server_owner &) = delete;
    server_owner &operator=(const server_owner &) = delete;
    virtual ~server_owner() = default;

    [[nodiscard]] virtual hello self() = 0;
    virtual void dispatch(const hello &from, message request, std::shared_ptr<reply_stream> reply) = 0;
    /// A stream was handed to the handler.
    virtual void streamOpened() = 0;
    /// Streams have ended and all their bytes are with the socket.
    virtual void streamsClosed(std::size_t count) = 0;
    virtual void closed(server_connection &connection) = 0;
};

/// The server side of one connection.
class server_connection final : public connection
{
public:
    server_connection(asio::ip::tcp::socket socket, std::shared_ptr<server_owner> owner, const server_limits &limits);

    /// Thread-safe.
    void open();
    /// Sends GOAWAY; streams in progress go on. Thread-safe.
    void drain();
    /// Closes at once. Thread-safe.
    void shutDown();
    /// Does what a stream's handle asked for. Thread-safe.
    void act(std::int32_t stream, server_stream::action what);

    // From any thread.
    [[nodiscard]] const std::string &address() const;
    /// Counts bytes of replies that wait for the peer.
    void addUntaken(std::ptrdiff_t bytes);
    [[nodiscard]] std::size_t untakenBytes() const;
    /// Time since the peer has taken any of them.
    [[nodiscard]] std::chrono::nanoseconds takingStandstill(steady_time now) const;
    /// Time since the connection was accepted; nothing once a whole request has arrived.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> timeWithoutRequest(steady_time now) const;

private:
    [[nodiscard]] std::shared_ptr<server_connection> sharedThis();
    void perform(std::int32_t id, server_stream::action what);
    [[nodiscard]] std::shared_ptr<server_stream> find(std::int32_t stream) const;
    void startResponse(std::int32_t id, server_stream &stream);
    void reject(std::int32_t id, std::string_view status, const core::reason &why);
    bool readHello(std::int32_t id, const server_stream &stream);
    void dispatch(std::int32_t id, const std::shared_ptr<server_stream> &stream);
    void releaseRequest(server_stream &stream);
    /// Counts what is held of a request. Returns whether there is room for more.
    bool countRequest(server_stream &stream);
    void refuseIncomplete(std::int32_t id, server_stream &stream, std::string_view code, std::string_view why);

    [[nodiscard]] bool isBusy() const override;
    void onHeadersBegin(std::int32_t stream) override;
    void onHeader(std::int32_t stream, std::string_view name, std::string_view value) override;
    void onHeadersEnd(std::int32_t stream) override;
    void onBytes(std::int32_t stream, std::string_view bytes) override;
    void onEndOfStream(std::int32_t stream) override;
    void onHeadersLeaving(std::int32_t stream) override;
    void onStreamClosed(std::int32_t stream, std::uint32_t errorCode) override;
    void onGoaway() override;
    void onReceived() override;
    void onFlushed() override;
    void onTick(steady_time now) override;
    void onClosed(const std::string &detail) override;

    std::shared_ptr<server_owner> m_owner;
    server_limits m_limits;
    std::unordered_map<std::int32_t, std::shared_ptr<server_stream>> m_streams;
    std::string m_lastHelloText;
    hello m_lastHello;
    std::size_t m_pendingRequestBytes = 0;
    std::size_t m_closedUnflushed = 0;
    bool m_draining = false;
    const std::string m_address;
    const steady_time m_acceptedAt;
    std::atomic<bool> m_hadRequest{false};
    std::atomic<std::ptrdiff_t> m_untaken{0};
    std::atomic<steady_time> m_untakenSince{steady_time{}};
};

} // namespace medlarrack::peer::detail
