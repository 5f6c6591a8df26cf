#pragma once

#include "connection.hpp"

#include <medlarrack/peer/client.hpp>
#include <medlarrack/peer/codec.hpp>

#include <atomic>
#include <deque>
#include <unordered_map>

namespace medlarrack::peer::detail {

/// One stream as the client sees it. Owned by its connection's strand but for the atomic members.
struct client_stream final : body_source
{
    std::uint64_t id = 0;
    endpoint to;
    std::string request;
    std::size_t requestSent = 0;
    /// Number on the wire; 0 until submitted.
    std::int32_t wireId = 0;
    stream_callbacks callbacks;
    std::atomic<bool> cancelled{false};
    std::atomic<bool> paused{false};
    /// Connections that closed before the stream was submitted on them.
    int reroutes = 0;
    /// The head has been handed to the socket: from here on nothing proves that the peer processed nothing.
    bool headLeft = false;
    bool responseBytes = false;
    bool endSeen = false;
    bool ended = false;
    int status = 0;
    std::string refusal;
    std::string failure;
    std::size_t withheldBytes = 0;
    decoder incoming;

    std::size_t pull(std::uint8_t *buffer, std::size_t length, bool &atEnd) override;
    /// Calls onEnd unless it has been called.
    void finish(stream_end end, const std::string &detail);
};

class client_connection;

/// What a connection asks of the client that owns it. Called on the connection's strand, without any lock held.
class client_owner
{
public:
    client_owner() = default;
    client_owner(const client_owner &) = delete;
    client_owner &operator=(const client_owner &) = delete;
    virtual ~client_owner() = default;

    [[nodiscard]] virtual hello self() = 0;
    virtual void helloReceived(const endpoint &from, const hello &value) = 0;
    /// Starts a stream again that never reached this connection's session.
    virtual void reroute(std::shared_ptr<client_stream> stream) = 0;
    /// The stream has ended.
    virtual void forget(std::uint64_t stream) = 0;
    /// The connection takes no new streams.
    virtual void detach(client_connection &connection) = 0;
    /// The connection is closed.
    virtual void closed(client_connection &connection) = 0;
};

/// The client side of the connection to one endpoint.
class client_connection final : public connection
{
public:
    client_connection(asio::ip::tcp::socket socket, std::weak_ptr<client_owner> owner, endpoint to,
                      const client_limits &limits);

    /// Connects; streams may be started before it has succeeded.
    void open();
    /// Counts a stream before it is started, so that the connection isn't taken for unused. Thread-safe.
    void reserve();
    /// Thread-safe.
    void start(std::shared_ptr<client_stream> stream);
    /// Looks again at the stream's flags (cancelled, paused). Thread-safe.
    void update(std::shared_ptr<client_stream> stream);
    /// Closes once unused; for making room. Thread-safe.
    void retire();
    /// Closes at once. Thread-safe.
    void shutDown();

    [[nodiscard]] const endpoint &peer() const;
    /// Streams reserved or open. Thread-safe.
    [[nodiscard]] std::size_t active() const;
    /// Order of last use. Thread-safe.
    [[nodiscard]] std::chrono::steady_clock::duration lastUsed() const;

private:
    [[nodiscard]] std::shared_ptr<client_connection> sharedThis();
    void onConnected(const asio::error_code &error);
    void submit(const std::shared_ptr<client_stream> &stream);
    void submitWaiting();
    void applyFlags(const std::shared_ptr<client_stream> &stream);
    void end(const std::shared_ptr<client_stream> &stream, stream_end how, const std::string &detail);
    void endAll(const std::string &detail);
    [[nodiscard]] std::shared_ptr<client_stream> find(std::int32_t stream) const;
    static void deliver(client_stream &stream);

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

    std::weak_ptr<client_owner> m_owner;
    endpoint m_to;
    std::chrono::milliseconds m_connectTimeout;
    std::chrono::milliseconds m_lossTimeout;
    std::string m_authority;
    asio::steady_timer m_connectTimer;
    std::unordered_map<std::int32_t, std::shared_ptr<client_stream>> m_streams;
    /// Streams that wait for the connection or for a sign of life on it.
    std::deque<std::shared_ptr<client_stream>> m_waiting;
    std::string m_lastHello;
    std::string m_closeDetail;
    std::atomic<std::size_t> m_active{0};
    std::atomic<std::chrono::steady_clock::duration::rep> m_lastUsed{0};
    /// Nothing is sent on streams before the peer has shown a sign of life.
    bool m_verifying = false;
    bool m_draining = false;
};

} // namespace medlarrack::peer::detail
