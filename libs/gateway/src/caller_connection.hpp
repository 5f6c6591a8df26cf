#pragma once

#include "caller_channel.hpp"
#include "exchange.hpp"
#include "exchange_services.hpp"

#include <medlarrack/catalog/published_state.hpp>
#include <medlarrack/core/idle_allowance.hpp>
#include <medlarrack/http1/byte_stream.hpp>
#include <medlarrack/http1/message_parser.hpp>
#include <medlarrack/overload/byte_account.hpp>
#include <medlarrack/overload/log_rate.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// The request is taken at once by another process or, of a caller that ended its side, on another connection.
inline constexpr std::chrono::milliseconds promptRetryAfter{50};

/// Limits of the log lines on what connections refuse, over all of them.
struct refusal_log_rates
{
    explicit refusal_log_rates(core::monotonic_time now);

    overload::log_rate requests;
    overload::log_rate connections;
};

/// A caller's connection: handles one request at a time and writes the responses in order.
class caller_connection final : public std::enable_shared_from_this<caller_connection>,
                                private http1::byte_stream_listener,
                                private caller_channel
{
public:
    /// The connection's bytes may be watched longer than its server lives, which `server` tells.
    caller_connection(std::weak_ptr<void> server, exchange_services &services,
                      std::shared_ptr<http1::byte_stream> stream, std::string peerAddress,
                      std::shared_ptr<refusal_log_rates> logRates);
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

    /// Bytes that are kept for the caller apart from a long body, which the account of the process counts itself.
    [[nodiscard]] std::size_t smallBytes() const;
    /// Memory of the head that is being received; 0 if none is.
    [[nodiscard]] std::size_t headMemory() const;
    /// Time for which it has been received; nothing if bytes of it aren't read.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> headAge(core::monotonic_time now) const;
    /// Bytes of the body that is being received.
    [[nodiscard]] std::size_t bodyBytes() const;
    [[nodiscard]] const std::string &peerAddress() const;
    /// Time for which the body that is being received has hardly grown; nothing if none is received, or if its bytes
    /// aren't read.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> bodyStandstill(core::monotonic_time now) const;
    /// Time for which the body has waited for room; nothing if it doesn't.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> roomWait(core::monotonic_time now) const;
    /// Time for which the caller has taken no byte of those that wait for it; nothing if none wait.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> takingStandstill(core::monotonic_time now) const;
    /// Time since the connection was made without a whole head; nothing once there has been one.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> timeWithoutHead(core::monotonic_time now) const;
    /// Refuses the request that is being received, for lack of memory, and closes the connection.
    void refuseForMemory();
    /// Refuses the request whose head is being received, as it is slow, and closes the connection.
    void refuseSlowHead();
    /// Drops the answers that the caller doesn't take, with a reset.
    void dropUntaken();
    /// Closes a connection that has sent no whole head.
    void dropWithoutHead();

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
    void refuseRequest(std::string_view code, std::string_view why,
                       std::chrono::milliseconds retryAfter = promptRetryAfter);
    /// Refuses a request that is outside the limits, or can't be read, and closes the connection.
    void turnAway(int status, std::string_view code, std::string_view why);
    void countTurnedAway(std::string_view code);
    void sendErrorAndClose(int status, std::string_view code, std::string_view why,
                           std::optional<std::chrono::milliseconds> retryAfter = {});
    /// Counts the body that is being received, and stops reading it while the process has no room for more.
    void countBody();
    void onRoomForBody();
    /// Moves the time until which the body must have ended, for bytes of it that have come; without a number, its head
    /// has.
    void extendBodyTime(std::optional<std::size_t> bytes);
    /// The request has ended: gives back its bytes.
    void dropRequestBytes();
    [[nodiscard]] std::size_t maxReadAhead() const;
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
    core::monotonic_time m_bodyGrewAt{};
    /// Size of the body at that time.
    std::size_t m_bodyMark = 0;
    /// The body is refused at this time.
    core::monotonic_time m_bodyEndsBy{};
    core::monotonic_time m_awaitsRoomSince{};
    const core::monotonic_time m_connectedAt;
    std::string m_peerAddress;
    std::shared_ptr<refusal_log_rates> m_logRates;
    /// Counts a long body until its request has ended.
    std::unique_ptr<overload::byte_holding> m_bodyHolding;
    /// Bytes of the body of a short request in progress.
    std::size_t m_shortRequestBytes = 0;
    /// Memory of the head of the request in progress.
    std::size_t m_requestHeadMemory = 0;
    /// When the caller took bytes last, or there were none for it to take.
    core::monotonic_time m_tookAt{};
    std::size_t m_takenBytes = 0;
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
    bool m_awaitsRoom = false;
    bool m_hadHead = false;
    bool m_continueSent = false;
};

} // namespace medlarrack::gateway
