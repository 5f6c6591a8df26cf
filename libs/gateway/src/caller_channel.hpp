#pragma once

#include <cstddef>
#include <string_view>

namespace medlarrack::gateway {

/// The side of a caller's connection that an exchange writes its answer to.
class caller_channel
{
public:
    caller_channel() = default;
    caller_channel(const caller_channel &) = delete;
    caller_channel &operator=(const caller_channel &) = delete;
    virtual ~caller_channel() = default;

    virtual void write(std::string_view bytes) = 0;
    /// Bytes that the caller hasn't taken yet.
    [[nodiscard]] virtual std::size_t queued() const = 0;
    /// Whether the connection closes after this answer, so that its head is to say so.
    [[nodiscard]] virtual bool closesAfterAnswer() const = 0;
    /// Whether the caller understands chunked bodies.
    [[nodiscard]] virtual bool takesChunks() const = 0;
    /// The answer is complete.
    virtual void answered() = 0;
    /// The answer can't be completed; the connection is cut so that it doesn't look complete.
    virtual void brokeOff() = 0;
};

} // namespace medlarrack::gateway
