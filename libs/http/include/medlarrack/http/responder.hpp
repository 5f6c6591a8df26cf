#pragma once

#include <medlarrack/http/message.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace medlarrack::http {

/// Answers one request, whole or as a stream. Thread-safe. Destroying it before an end closes the connection, so that
/// a stream without its end can't be taken for a whole one.
class responder
{
public:
    responder() = default;
    responder(const responder &) = delete;
    responder &operator=(const responder &) = delete;
    virtual ~responder() = default;

    /// Sends a whole answer. At most one of respond() and begin() is called, once.
    virtual void respond(int status, header_list headers, std::string body) = 0;
    /// Starts a streamed answer (chunked transfer coding).
    virtual void begin(int status, header_list headers) = 0;
    /// Sends a piece of a streamed answer at once.
    virtual void write(std::string_view piece) = 0;
    /// Ends a streamed answer.
    virtual void end() = 0;
    /// Breaks a streamed answer off by closing the connection without the end mark.
    virtual void abort() = 0;
    /// Called at most once, from any thread, when the caller has gone before the end of the answer.
    virtual void onClosed(std::function<void()> callback) = 0;
};

} // namespace medlarrack::http
