#pragma once

#include <medlarrack/core/reason.hpp>
#include <medlarrack/peer/messages.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::peer {

/// Largest encoded message in bytes; the decoder refuses a longer one as soon as this much of it has arrived.
inline constexpr std::size_t maxMessageBytes = 4U << 20U;

/// Encodes one message with MessagePack: an array of the type's number and a map from field number to value.
[[nodiscard]] std::string encode(const message &value);

/// Splits a byte stream into messages. After a failure the stream is unusable.
class decoder
{
public:
    decoder();
    ~decoder();
    decoder(const decoder &) = delete;
    decoder &operator=(const decoder &) = delete;

    /// Adds bytes received. False with a reason once the stream is broken (too long, not MessagePack).
    [[nodiscard]] bool feed(std::string_view bytes, core::reason &why);
    /// The next whole message; nothing when more bytes are needed (reason untouched) or the stream is broken (reason
    /// filled in). Messages of an unknown type are skipped and counted.
    [[nodiscard]] std::optional<message> next(core::reason &why);
    /// Messages skipped because their type is not known to this version.
    [[nodiscard]] std::size_t skipped() const;
    /// True when part of a message has been fed and the rest hasn't: an end of the stream here is a truncation.
    [[nodiscard]] bool midMessage() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::peer
