#pragma once

#include <medlarrack/gateway/connection_terms.hpp>

#include <cstddef>
#include <string_view>

namespace medlarrack::gateway {

/// The part of a caller's connection that an exchange writes its response to.
class caller_channel
{
public:
    caller_channel() = default;
    caller_channel(const caller_channel &) = delete;
    caller_channel &operator=(const caller_channel &) = delete;
    virtual ~caller_channel() = default;

    virtual void write(std::string_view bytes) = 0;
    /// Bytes that have not been handed to the system yet because the caller reads slowly.
    [[nodiscard]] virtual std::size_t queuedBytes() const = 0;
    /// Decides whether the connection closes after this response, or how long it may be idle, which the response head
    /// must then state. Called once for each response.
    [[nodiscard]] virtual connection_terms decideTerms() = 0;
    /// Whether the caller accepts a chunked body, that is, uses HTTP/1.1.
    [[nodiscard]] virtual bool acceptsChunkedBody() const = 0;
    /// The response is complete.
    virtual void onResponseComplete() = 0;
    /// The response can't be completed: the connection is reset so that a truncated response isn't taken for a complete
    /// one.
    virtual void onResponseAborted() = 0;
};

} // namespace medlarrack::gateway
