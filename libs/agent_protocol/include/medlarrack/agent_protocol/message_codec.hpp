#pragma once

#include <medlarrack/agent_protocol/messages.hpp>
#include <medlarrack/core/reason.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::agent_protocol {

/// A message as MessagePack: an array of its number in the variant and its fields in their order.
[[nodiscard]] std::string encode(const message &value);

/// Takes messages off a stream of bytes.
class message_decoder
{
public:
    message_decoder();
    ~message_decoder();
    message_decoder(const message_decoder &) = delete;
    message_decoder &operator=(const message_decoder &) = delete;

    void feed(std::string_view bytes);
    /// The next whole message. Nothing without one, or once the bytes are no messages: then failed() holds.
    [[nodiscard]] std::optional<message> next(core::reason &why);
    [[nodiscard]] bool failed() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::agent_protocol
