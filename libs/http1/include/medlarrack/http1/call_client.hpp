#pragma once

#include <medlarrack/core/reason.hpp>
#include <medlarrack/http1/answer_pace.hpp>
#include <medlarrack/http1/message_head.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::http1 {

/// A whole answer.
struct call_answer
{
    int status = 0;
    std::vector<header> headers;
    std::string body;
    /// Time from the first byte of the body to the last one.
    std::chrono::nanoseconds transferTime{0};

    /// Value of the first header of a name, compared without case; nothing without one.
    [[nodiscard]] std::optional<std::string_view> headerValue(std::string_view name) const;
};

/// Parses "ADDRESS:PORT" with an IPv4 address.
[[nodiscard]] std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

/// Makes calls to one server, one at a time over one kept connection. A call that isn't answered in time costs the
/// connection: nothing that comes on it afterwards would be trusted. With the name of a header, each call carries an id
/// of its own in it, which the server is expected to write in its answer; see findAnswerOrigin for what is taken.
class call_client
{
public:
    /// The answer, or nothing with a reason.
    using done_handler = std::function<void(std::optional<call_answer> answer, const core::reason &why)>;

    /// Code of the reason if an answer may be to an earlier call. The call's outcome is unknown; the next call has a
    /// connection of its own.
    static constexpr std::string_view unprovenAnswer = "unproven_answer";

    /// Answers with longer bodies are errors.
    call_client(asio::io_context &context, const asio::ip::tcp::endpoint &server, std::size_t maxBodyBytes,
                std::string_view idHeader = {});
    ~call_client();
    call_client(const call_client &) = delete;
    call_client &operator=(const call_client &) = delete;

    [[nodiscard]] bool isBusy() const;
    /// Whether a call that is made now can expect an answer that is proven: not behind an answer without an id, as the
    /// next one is likely to have none either.
    [[nodiscard]] bool isAnswerProvable() const;
    /// Gives the kept connection up, as after an answer that doesn't fit its call. Must not be busy.
    void disconnect();
    /// Bytes of the last answer's body so far, also if it wasn't taken.
    [[nodiscard]] std::size_t receivedBytes() const;
    /// The same of all answers.
    [[nodiscard]] std::uint64_t totalReceivedBytes() const;
    /// Starts a call; must not be busy. No handler is called after destruction.
    void call(std::string_view method, std::string_view target, std::string_view body, const answer_limits &limits,
              done_handler done);
    /// The same with one limit for the whole answer.
    void call(std::string_view method, std::string_view target, std::string_view body,
              std::chrono::milliseconds timeout, done_handler done);

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::http1
