#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <nghttp2/nghttp2.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::peer::detail {

/// Bytes that a stream sends; pulled by the connection as flow control allows.
class body_source
{
public:
    body_source() = default;
    body_source(const body_source &) = delete;
    body_source &operator=(const body_source &) = delete;
    virtual ~body_source() = default;

    /// Copies at most length bytes and says how many; atEnd is set when none will follow. 0 without atEnd means
    /// "later".
    virtual std::size_t pull(std::uint8_t *buffer, std::size_t length, bool &atEnd) = 0;
};

/// A header field to send.
struct header_field
{
    std::string_view name;
    std::string_view value;
};

/// Times after which a connection is given up.
struct connection_times
{
    /// Silence of a peer that owes an answer.
    std::chrono::milliseconds loss;
    /// Time without streams.
    std::chrono::milliseconds idle;
};

/// One HTTP/2 connection over one socket, either side. All members are called on the socket's strand unless they say
/// otherwise; the hooks are too.
class connection : public std::enable_shared_from_this<connection>
{
public:
    using steady_time = std::chrono::steady_clock::time_point;

    /// Which side of the connection this process is.
    enum class side {
        client,
        server,
    };

    connection(asio::ip::tcp::socket socket, side role, connection_times times);
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;
    virtual ~connection();

protected:
    /// Starts the HTTP/2 session on the connected socket.
    void begin(std::uint32_t maxStreams);
    /// Writes what the session has to send.
    void pump();
    /// Closes at once; onClosed() follows unless it has been called.
    void close(const std::string &detail);
    /// Ends the session in order: GOAWAY with the last stream processed; streams in progress go on.
    void submitGoaway();
    void resetStream(std::int32_t stream, std::uint32_t errorCode);
    void sendPing();
    /// Starts to count the peer's silence from now.
    void expectAnswer();
    /// Gives received bytes of a stream back to the peer's window.
    void grantWindow(std::int32_t stream, std::size_t bytes);
    /// Sends headers and then the source's bytes; the source must outlive the stream.
    [[nodiscard]] std::int32_t submitRequest(const std::vector<header_field> &headers, body_source &body);
    void submitResponse(std::int32_t stream, const std::vector<header_field> &headers, body_source *body);
    /// Tells the session that a source which had said "later" has bytes.
    void resumeSending(std::int32_t stream);

    [[nodiscard]] bool isOpen() const;
    [[nodiscard]] bool hasSession() const;
    [[nodiscard]] steady_time lastReceived() const;
    /// When bytes of a stream were last taken for the peer, as it allows. From any thread.
    [[nodiscard]] steady_time lastTaken() const;
    [[nodiscard]] asio::ip::tcp::socket &socket();

    /// Whether the peer owes an answer, so that its silence counts.
    [[nodiscard]] virtual bool isBusy() const = 0;
    /// Head of a request or response begins.
    virtual void onHeadersBegin(std::int32_t stream) = 0;
    virtual void onHeader(std::int32_t stream, std::string_view name, std::string_view value) = 0;
    virtual void onHeadersEnd(std::int32_t stream) = 0;
    virtual void onBytes(std::int32_t stream, std::string_view bytes) = 0;
    /// The peer has sent the end of the stream.
    virtual void onEndOfStream(std::int32_t stream) = 0;
    /// A stream's head is about to leave for the socket.
    virtual void onHeadersLeaving(std::int32_t stream) = 0;
    virtual void onStreamClosed(std::int32_t stream, std::uint32_t errorCode) = 0;
    /// The connection takes no new streams.
    virtual void onGoaway() = 0;
    /// Bytes have arrived; called after the hooks for them.
    virtual void onReceived() = 0;
    /// All bytes that the session had given out are with the socket.
    virtual void onFlushed() = 0;
    /// Called several times in one loss timeout.
    virtual void onTick(steady_time now) = 0;
    /// Last call.
    virtual void onClosed(const std::string &detail) = 0;

private:
    friend struct session_callbacks;
    struct session_deleter
    {
        void operator()(nghttp2_session *session) const;
    };

    static ssize_t pullFromSource(nghttp2_session *session, std::int32_t stream, std::uint8_t *buffer,
                                  std::size_t length, std::uint32_t *flags, nghttp2_data_source *source, void *owner);
    static nghttp2_data_provider providerOf(body_source &body);
    void read();
    void onReadable(const asio::error_code &error);
    bool take(const std::uint8_t *bytes, std::size_t length);
    bool collectOutput();
    void armTimer();
    void onTimer();
    void finishInOrder();
    [[nodiscard]] std::chrono::milliseconds period() const;

    asio::ip::tcp::socket m_socket;
    side m_role;
    connection_times m_times;
    asio::steady_timer m_timer;
    std::unique_ptr<nghttp2_session, session_deleter> m_session;
    std::string m_output;
    steady_time m_lastReceived;
    steady_time m_silenceFrom;
    steady_time m_idleFrom;
    steady_time m_lastTick;
    std::atomic<steady_time> m_lastTaken{steady_time{}};
    bool m_pingOutstanding = false;
    bool m_heard = false;
    bool m_writing = false;
    bool m_finishing = false;
    bool m_closed = false;
};

} // namespace medlarrack::peer::detail
