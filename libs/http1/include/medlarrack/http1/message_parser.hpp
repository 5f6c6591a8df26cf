#pragma once

#include <medlarrack/http1/message_head.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace medlarrack::http1 {

enum class message_kind {
    request,
    response,
};

enum class parse_state {
    /// The head isn't complete.
    head,
    /// The head is complete, the body isn't.
    body,
    complete,
    /// The bytes are no message, or a form that could hide another message.
    malformed,
    /// The head is longer than allowed.
    head_too_long,
};

/// Parses one HTTP/1 message at a time. Stricter than the protocol where two readers could disagree on where a message
/// ends: such messages are malformed. So are requests whose chunk sizes, chunk extensions and trailers take more than
/// the bound of a head and 128 bytes for each chunk, and responses whose status is not a number of three digits from
/// 100 to 599.
class message_parser
{
public:
    message_parser(message_kind kind, std::size_t maxHeadBytes);
    ~message_parser();
    message_parser(const message_parser &) = delete;
    message_parser &operator=(const message_parser &) = delete;

    /// For the message that is being read and those after it.
    void setMaxHeadBytes(std::size_t maxHeadBytes);
    /// Starts on the next message. `noBody` says that a response has no body whatever its head says (to HEAD).
    void reset(bool noBody = false);
    /// Consumes bytes up to the end of the message; returns how many.
    std::size_t feed(std::string_view bytes);
    /// The peer has ended its stream: completes a message that only this ends. Gives the state after it.
    parse_state finish();

    [[nodiscard]] parse_state state() const;
    /// Valid once the state is past head.
    [[nodiscard]] const message_head &head() const;
    /// Memory that the head takes as far as it is parsed, about. Short lines take many times their bytes.
    [[nodiscard]] std::size_t headMemory() const;
    /// Body bytes parsed and not yet taken, without chunk framing.
    [[nodiscard]] std::string &body();
    [[nodiscard]] const std::string &body() const;
    /// Bytes of the body that are still to come, as its head states; 0 for a chunked body.
    [[nodiscard]] std::uint64_t announcedBytes() const;
    /// Whether any byte of the message has been seen.
    [[nodiscard]] bool started() const;
    /// Whether the connection may carry another message after this one.
    [[nodiscard]] bool keepsAlive() const;
    /// Whether the message's body ends with the peer's stream only.
    [[nodiscard]] bool endsWithStream() const;
    /// What was wrong with a malformed message.
    [[nodiscard]] std::string_view fault() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::http1
