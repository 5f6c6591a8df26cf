#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace medlarrack::http1 {

/// Gets the events of a byte stream. A stream has at most one listener, which may be replaced at any time.
class byte_stream_listener
{
public:
    byte_stream_listener() = default;
    byte_stream_listener(const byte_stream_listener &) = delete;
    byte_stream_listener &operator=(const byte_stream_listener &) = delete;
    virtual ~byte_stream_listener() = default;

    /// The connection attempt succeeded.
    virtual void onConnected()
    {
    }
    /// The bytes are valid during the call only.
    virtual void onBytes(std::string_view bytes) = 0;
    /// All bytes queued have been handed to the system.
    virtual void onWritten()
    {
    }
    /// The peer ended its stream in order; writing may go on. An end that is seen after a reset or behind a failed
    /// write is reported by onLost.
    virtual void onPeerEnd() = 0;
    /// The connection failed or was reset. Last event of a stream.
    virtual void onLost(std::string_view why) = 0;
};

/// Gets what the peer sends after the end of a stream was decided.
class late_bytes_observer
{
public:
    late_bytes_observer() = default;
    late_bytes_observer(const late_bytes_observer &) = delete;
    late_bytes_observer &operator=(const late_bytes_observer &) = delete;
    virtual ~late_bytes_observer() = default;

    /// Bytes were read and dropped. They are valid during the call only.
    virtual void onDropped(std::string_view bytes) = 0;
    /// The connection is being closed over bytes that weren't read; up to `readBytes` of them. Last event.
    virtual void onClosed(std::string_view unread) = 0;
};

/// A TCP connection that reads into one buffer shared by all connections of the process and writes without waiting as
/// long as the system takes the bytes. Not thread-safe; all streams belong to one thread.
class byte_stream : public std::enable_shared_from_this<byte_stream>
{
public:
    /// Bytes taken from a connection at once at most. Most answers fit.
    static constexpr std::size_t readBytes = 32'768;

    explicit byte_stream(asio::io_context &context);
    byte_stream(asio::io_context &context, asio::ip::tcp::socket socket);
    byte_stream(const byte_stream &) = delete;
    byte_stream &operator=(const byte_stream &) = delete;
    ~byte_stream();

    void setListener(byte_stream_listener *listener);
    /// Connects; onConnected or onLost follows. Bytes may be written before, they are sent once connected.
    void connect(const asio::ip::tcp::endpoint &to, std::chrono::milliseconds limit);
    /// Starts reading; without it nothing is read and the peer is slowed down.
    void startReading();
    void stopReading();
    void write(std::string_view bytes);
    /// Gives the connection up: nothing more is written or read, what isn't sent yet is dropped. onLost follows after
    /// the caller has returned.
    void fail(std::string why);
    /// When a write fails, the listener still gets the bytes that the peer sent before; onLost follows them, and waits
    /// until they have been read. Without this, onLost follows at once.
    void readPastFailedWrites();
    /// Bytes not yet taken by the system.
    [[nodiscard]] std::size_t queued() const;
    /// Bytes taken by the system since the start.
    [[nodiscard]] std::size_t sent() const;
    /// Whether the host of the peer has yet to acknowledge bytes that were written.
    [[nodiscard]] bool hasUnacknowledgedBytes() const;
    [[nodiscard]] bool isOpen() const;
    /// Whether the system has bytes of the peer that weren't read yet.
    [[nodiscard]] bool hasUnreadBytes() const;
    /// Whether the peer has sent bytes, or ended or reset its stream, and that wasn't read yet.
    [[nodiscard]] bool hasUnreadInput() const;
    /// Whether the peer has ended or reset its stream, perhaps behind bytes that weren't read yet.
    [[nodiscard]] bool hasPeerEnded() const;
    /// Time for which the peer may leave unread what was written, as long as its host acknowledges it. Without a limit
    /// of its own, this is as short as the time for acknowledgements.
    void setUnreadLimit(std::chrono::milliseconds limit);
    /// Whether the connection was given up because the peer didn't acknowledge or read in time what was written.
    [[nodiscard]] bool hasTimedOut() const;
    /// Observes what comes after one of the following calls that end the stream.
    void observeLateBytes(std::unique_ptr<late_bytes_observer> observer);
    /// Ends our side once all is written; the listener gets no more events, and what the peer still sends is dropped.
    void finish();
    /// The same, but leaves what the peer still sends unread and resets the connection over it after a while, so that a
    /// request that crosses the end doesn't count as taken.
    void finishUnread();
    /// Closes at once; the listener gets no more events.
    void close();
    /// Closes with a reset, so that the peer sees that what it got isn't whole. It follows what was written before,
    /// which may be answers that the peer hasn't read yet; the listener gets no more events.
    void abort();
    /// The same, but drops what the system hasn't taken yet.
    void abortUnsent();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::http1
