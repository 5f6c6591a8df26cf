#pragma once

#include "caller_channel.hpp"
#include "exchange.hpp"
#include "exchange_services.hpp"

#include <medlarrack/catalog/published_state.hpp>
#include <medlarrack/core/idle_allowance.hpp>
#include <medlarrack/http1/byte_stream.hpp>
#include <medlarrack/http1/message_parser.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// A caller's connection: handles one request at a time and writes the responses in order.
class caller_connection final : public std::enable_shared_from_this<caller_connection>,
                                private http1::byte_stream_listener,
                                private caller_channel
{
public:
    /// The connection's bytes may be watched longer than its server lives, which `server` tells.
    caller_connection(std::weak_ptr<void> server, exchange_services &services,
                      std::shared_ptr<http1::byte_stream> stream);
    ~caller_connection() override;

    void start();
    /// Checks the time-outs of the connection and of its exchange.
    void tick(core::monotonic_time now);
    /// The process is shutting down: closes the connection after the next response whose head hasn't been sent.
    void drain();
    /// The process takes no new requests from this time on: it might end before their answers. They are refused.
    void refuseRequestsFrom(core::monotonic_time time);
    /// The process ends: answers the request in progress, refuses those that were received behind it or in part, and
    /// closes. Called again until the connection is closed.
    void endRequest(std::string_view code, std::string_view why);
    /// Closes unless a request is being received or processed, or bytes of one weren't read yet.
    void closeIfIdle();
    [[nodiscard]] bool isClosed() const;
    [[nodiscard]] bool isIdle() const;
    /// Whether the caller may not have got its last bytes, also after the connection is closed.
    [[nodiscard]] bool isOpen() const;
    /// Whether bytes of an answer wait for a caller that reads slowly, also after the connection is closed.
    [[nodiscard]] bool hasUnsentBytes() const;
    /// The number of these bytes.
    [[nodiscard]] std::size_t untakenBytes() const;
    /// Whether the next pipelined request isn't begun until the caller takes its answers.
    [[nodiscard]] bool awaitsTaking() const;
    [[nodiscard]] bool hasUnreadBytes() const;

private:
    void onBytes(std::string_view bytes) override;
    void onWritten() override;
    void onPeerEnd() override;
    void onLost(std::string_view why) override;

    void write(std::string_view bytes) override;
    [[nodiscard]] std::size_t queuedBytes() const override;
    [[nodiscard]] connection_terms decideTerms() override;
    [[nodiscard]] bool acceptsChunkedBody() const override;
    void onResponseComplete() override;
    void onResponseAborted() override;

    void parse();
    /// Begins the request that has waited until the caller took its answers.
    void goOn();
    [[nodiscard]] bool refusesRequests() const;
    void startExchange();
    void sendContinueIfExpected();
    void refuseRequest(std::string_view code, std::string_view why);
    void sendErrorAndClose(int status, std::string_view code, std::string_view why);
    enum class connection_end {
        /// After all that was written.
        finished,
        /// The same, leaving unread what crosses the end.
        finished_unread,
        /// With a reset of the response that has begun.
        aborted,
        /// As the caller has closed or reset it, or can't be reached.
        lost,
        /// Without a word.
        closed,
    };
    /// The only way in which the connection ends. A request in progress that is unanswered then, other than by its
    /// caller's doing, is counted; requests that have not been begun are not.
    void end(connection_end how);
    /// The end as it is named in the log.
    [[nodiscard]] std::string_view nameOf(connection_end how) const;
    /// Has whole requests recorded that were received behind the last one that was begun, or will be.
    void recordLateRequests(connection_end how);
    /// Logs and counts a whole request whose caller has got neither an answer nor a reset of a response that had begun.
    void recordUnanswered(const exchange &ended, std::string_view cause, std::string_view why);
    /// Closes an idle connection.
    void closeIdle(core::monotonic_time now);

    std::weak_ptr<void> m_server;
    exchange_services &m_services;
    std::shared_ptr<http1::byte_stream> m_stream;
    http1::message_parser m_parser;
    std::shared_ptr<exchange> m_exchange;
    /// Received bytes that are not parsed yet, such as pipelined requests.
    std::string m_unparsed;
    core::monotonic_time m_lastActivityAt{};
    core::monotonic_time m_requestStartedAt{};
    /// The largest limits that have been in force since the request began.
    std::size_t m_maxHeadBytes = 0;
    std::size_t m_maxBodyBytes = 0;
    core::idle_allowance m_idleAllowance;
    std::optional<core::monotonic_time> m_refuseFrom;
    bool m_keepAlive = true;
    bool m_acceptsChunkedBody = true;
    bool m_draining = false;
    /// The caller has ended its side behind its last request. It has left or reads on, which can't be told apart: what
    /// it asked for is not run anymore, but it gets a word.
    bool m_callerEnded = false;
    /// The head of the current response states that the connection closes after it.
    bool m_closeAnnounced = false;
    bool m_closed = false;
    bool m_parsing = false;
    bool m_awaitsTaking = false;
    bool m_continueSent = false;
};

} // namespace medlarrack::gateway
