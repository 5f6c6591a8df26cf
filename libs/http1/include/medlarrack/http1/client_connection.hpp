#pragma once

#include <medlarrack/http1/byte_stream.hpp>
#include <medlarrack/http1/message_parser.hpp>
#include <medlarrack/http1/response_limits.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace medlarrack::http1 {

/// How far a call had come when it failed.
enum class call_progress {
    /// The connection was never made: no byte of the request can have been read.
    not_sent,
    /// Bytes were sent, none of an answer came.
    sent,
    /// A part of an answer came.
    answered,
};

/// What an observer says of the head of a response.
enum class head_verdict {
    take,
    /// It belongs to another request: it is dropped whole, and the one after it is waited for.
    skip,
};

/// Gets the events of one call. After onComplete or onFailed no more follow.
class call_observer
{
public:
    call_observer() = default;
    call_observer(const call_observer &) = delete;
    call_observer &operator=(const call_observer &) = delete;
    virtual ~call_observer() = default;

    [[nodiscard]] virtual head_verdict onHead(const message_head &head) = 0;
    /// Body bytes; those left in the string are given again with the next ones.
    virtual void onBody(std::string &body) = 0;
    virtual void onComplete() = 0;
    virtual void onFailed(call_progress progress, std::string_view why) = 0;
};

/// A connection to a server that carries one call at a time.
class client_connection : public std::enable_shared_from_this<client_connection>, private byte_stream_listener
{
public:
    explicit client_connection(asio::io_context &context, const response_limits &limits = {});
    ~client_connection() override;

    void connect(const asio::ip::tcp::endpoint &to, std::chrono::milliseconds limit);
    /// Sends a request; the connection must be idle. The observer must stay until its last event or cancel().
    void send(std::string_view request, call_observer &observer, bool headRequest = false);
    /// Drops the call and closes the connection; no event follows.
    void cancel();
    /// Stops reading the answer while its receiver is slow.
    void pause();
    void resume();
    /// Lets the call in progress be the last one.
    void closeAfterAnswer();

    /// Whether another call may be sent.
    [[nodiscard]] bool isReusable() const;
    /// Whether bytes of the server have arrived that were not read yet.
    [[nodiscard]] bool hasUnreadBytes() const;
    /// Whether the server has sent bytes, or ended or reset the connection, and that wasn't read yet.
    [[nodiscard]] bool hasUnreadInput() const;
    /// Calls carried so far.
    [[nodiscard]] std::size_t calls() const;
    /// Whether the head of an answer, to whatever request, has come before the one that onHead is given.
    [[nodiscard]] bool hasAnswered() const;
    /// Whether only the end of the connection ended the body of the last response.
    [[nodiscard]] bool responseEndsWithConnection() const;
    /// Idle time after which the server closes, as its last answer said; zero if it didn't.
    [[nodiscard]] std::chrono::seconds keepAlive() const;

private:
    void onConnected() override;
    void onBytes(std::string_view bytes) override;
    void onPeerEnd() override;
    void onLost(std::string_view why) override;

    void advance();
    void complete();
    void fail(std::string_view why);
    /// Counts bytes of the message in progress; false if the server has sent too much that is dropped.
    [[nodiscard]] bool countDropped(std::size_t bytes);

    std::shared_ptr<byte_stream> m_stream;
    response_limits m_limits;
    message_parser m_parser;
    std::uint32_t m_interimResponses = 0;
    std::size_t m_droppedBytes = 0;
    /// Bytes of the message in progress that aren't counted as dropped.
    std::size_t m_messageBytes = 0;
    call_observer *m_observer = nullptr;
    std::size_t m_calls = 0;
    std::size_t m_requestEnd = 0;
    std::chrono::seconds m_keepAlive{0};
    bool m_connected = false;
    bool m_headSeen = false;
    bool m_skipping = false;
    bool m_skippedAny = false;
    bool m_answered = false;
    bool m_reusable = true;
    bool m_headRequest = false;
};

} // namespace medlarrack::http1
