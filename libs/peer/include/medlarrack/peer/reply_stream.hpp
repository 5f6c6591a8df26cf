#pragma once

#include <medlarrack/peer/messages.hpp>

#include <cstddef>
#include <functional>

namespace medlarrack::peer {

/// Server side of one stream. Thread-safe. Destroying it before end() resets the stream.
class reply_stream
{
public:
    reply_stream() = default;
    reply_stream(const reply_stream &) = delete;
    reply_stream &operator=(const reply_stream &) = delete;
    virtual ~reply_stream() = default;

    /// Sends a message back. Ignored once the stream is closed.
    virtual void send(const message &value) = 0;
    /// Ends the stream after everything sent.
    virtual void end() = 0;
    /// Resets the stream with REFUSED_STREAM, which tells the client that nothing of it was processed.
    virtual void refuse() = 0;
    /// Bytes sent but not yet taken by the connection.
    [[nodiscard]] virtual std::size_t bufferedBytes() const = 0;
    /// Called at most once, from any thread, when the client resets the stream or its connection breaks before end().
    virtual void onClosed(std::function<void()> callback) = 0;
};

} // namespace medlarrack::peer
