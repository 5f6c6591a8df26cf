#pragma once

#include <medlarrack/agent_protocol/messages.hpp>
#include <medlarrack/core/reason.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::agent_protocol {

/// Encodes a message as a MessagePack array of its index in the variant and its fields in order of declaration.
[[nodiscard]] std::string encode(const message &value);

/// Decodes messages from a stream of bytes.
class message_decoder
{
public:
    message_decoder();
    ~message_decoder();
    message_decoder(const message_decoder &) = delete;
    message_decoder &operator=(const message_decoder &) = delete;

    void feed(std::string_view bytes);
    /// The next complete message, or nothing. After malformed bytes there are no more messages and failed() is true.
    [[nodiscard]] std::optional<message> next(core::reason &why);
    [[nodiscard]] bool failed() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::agent_protocol
