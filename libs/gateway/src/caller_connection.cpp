#include "caller_connection.hpp"

#include "late_request_recorder.hpp"
#include "milliseconds.hpp"

#include <medlarrack/log/log.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::gateway {

namespace {

/// Pipelined bytes that are buffered while a request is processed.
constexpr std::size_t maxReadAheadBytes = 65'536;
/// Bytes of answers that may wait for a caller while its next pipelined request is begun.
constexpr std::size_t maxUntakenBytes = 65'536;

/// The same while more than half of the room for what is kept for others is in use: one read.
constexpr std::size_t maxReadAheadWithLittleRoom = 0;
/// A longer body is counted by itself.
constexpr std::size_t shortBodyBytes = 16'384;
/// Buffers of more bytes are given back once they are empty.
constexpr std::size_t keptBufferBytes = 4'096;
/// Bytes of a body that must come in each second, apart from pauses of twice the idle time-out. The longest deadline of
/// callers is 6 s, in which the longest body of 4 MiB needs 700 KB/s; a link of 128 kbit/s takes 256 s for it.
constexpr std::int64_t leastBodyBytesPerSecond = 16'384;
constexpr int longestPauseInIdleTimes = 2;
/// Log lines on refusals: enough for each request that a stop of the process refuses.
constexpr double refusalLinesPerSecond = 10;
constexpr double refusalLineBurst = 100;
/// A body that grows by less stands still.
constexpr std::size_t leastProgress = 4'096;
constexpr std::string_view noMemoryCode = "no_memory";
constexpr std::string_view noMemoryWhy = "the memory for requests and responses is used up";
/// Memory is given back within moments, as callers that stand still are refused.
constexpr std::chrono::milliseconds memoryRetryAfter{500};

constexpr std::string_view stoppingCode = "stopping";
constexpr std::string_view stoppingWhy = "this process is about to end";
constexpr std::string_view endedCode = "caller_ended";
constexpr std::string_view endedWhy = "the caller ended its side of the connection behind the request";
/// Time in which a process that ends reads what the system has received, so that each request in it is refused.
constexpr std::chrono::milliseconds lastReadTime{100};

constexpr int statusBadRequest = 400;
constexpr int statusRequestTimeout = 408;
constexpr int statusContentTooLarge = 413;
constexpr int statusHeadersTooLarge = 431;
constexpr int statusUnavailable = 503;

} // namespace

refusal_log_rates::refusal_log_rates(core::monotonic_time now)
    : requests(refusalLinesPerSecond, refusalLineBurst, now)
    , connections(refusalLinesPerSecond, refusalLineBurst, now)
{
}

caller_connection::caller_connection(std::weak_ptr<void> server, exchange_services &services,
                                     std::shared_ptr<http1::byte_stream> stream, std::string peerAddress,
                                     std::shared_ptr<refusal_log_rates> logRates)
    : m_server(std::move(server))
    , m_services(services)
    , m_stream(std::move(stream))
    , m_parser(http1::message_kind::request, services.routes.limits().maxHeadBytes)
    , m_lastActivityAt(services.clock.now())
    , m_connectedAt(m_lastActivityAt)
    , m_peerAddress(std::move(peerAddress))
    , m_logRates(std::move(logRates))
    , m_tookAt(m_lastActivityAt)
    , m_idleAllowance(services.routes.limits().idleTimeout)
{
}

caller_connection::~caller_connection()
{
    // Nothing behind the request in progress is begun anymore.
    m_unparsed.clear();
    m_keepAlive = false;
    endRequest(stoppingCode, stoppingWhy);
    if (!m_closed) {
        end(connection_end::closed);
    }
}

void caller_connection::end(connection_end how)
{
    m_closed = true;
    m_awaitsRoom = false;
    if (const auto current = std::exchange(m_exchange, nullptr)) {
        if (how == connection_end::lost && m_stream->hasTimedOut()) {
            recordUnanswered(*current, "unreachable", "its caller acknowledged or read nothing in time");
        } else if (how != connection_end::lost) {
            recordUnanswered(*current, "dropped", "its connection was closed");
        }
        current->onCallerDisconnected();
    }
    if (how != connection_end::lost && !m_callerEnded) {
        recordLateRequests(how);
    }
    // The connection object stays until its descriptor is closed.
    dropRequestBytes();
    std::exchange(m_unparsed, {});
    std::exchange(m_parser.body(), {});
    m_parser.reset();
    switch (how) {
    case connection_end::finished:
        m_stream->finish();
        break;
    case connection_end::finished_unread:
        m_stream->finishUnread();
        break;
    case connection_end::aborted:
        m_stream->abort();
        break;
    case connection_end::lost:
    case connection_end::closed:
        m_stream->close();
        break;
    }
}

std::string_view caller_connection::nameOf(connection_end how) const
{
    switch (how) {
    case connection_end::finished:
        return m_closeAnnounced ? "announced" : "error";
    case connection_end::finished_unread:
        return "idle";
    case connection_end::aborted:
        return "reset";
    case connection_end::lost:
    case connection_end::closed:
        break;
    }
    return "closed";
}

void caller_connection::recordLateRequests(connection_end how)
{
    const std::size_t maxHeadBytes = std::max(m_maxHeadBytes, m_services.routes.limits().maxHeadBytes);
    const bool isBetweenRequests = !m_parser.started() || m_parser.state() == http1::parse_state::complete;
    auto recorder = std::make_unique<late_request_recorder>(m_server, m_services.metrics, m_services.format,
                                                            nameOf(how), maxHeadBytes, isBetweenRequests);
    // Bytes that were read are dropped with the connection.
    if (!m_unparsed.empty()) {
        recorder->onDropped(m_unparsed);
    }
    m_stream->observeLateBytes(std::move(recorder));
}

void caller_connection::recordUnanswered(const exchange &ended, std::string_view cause, std::string_view why)
{
    log::write(log::level::error, "request ended without an answer",
               {{"request_id", ended.requestId()}, {"cause", cause}, {"why", why}});
    m_services.metrics.count("medlarrack_gateway_unanswered_requests_total",
                             "Whole requests whose connection the gateway ended without an answer or a reset",
                             {.code = std::string(cause)});
}

void caller_connection::endRequest(std::string_view code, std::string_view why)
{
    if (m_closed) {
        return;
    }
    // No lock on this: the destructor ends the request too.
    const core::monotonic_time now = m_services.clock.now();
    m_draining = true;
    m_refuseFrom = std::min(m_refuseFrom.value_or(now), now);
    if (m_awaitsTaking) {
        goOn();
        if (m_closed) {
            return;
        }
    }
    if (const auto current = m_exchange) {
        current->abandon(code, why, promptRetryAfter);
    } else if (hasUnreadBytes() && now - *m_refuseFrom < lastReadTime) {
        return;
    } else if (m_parser.state() == http1::parse_state::body) {
        // The rest of the body is not read.
        m_keepAlive = false;
        refuseRequest(stoppingCode, stoppingWhy);
    } else if (m_parser.started()) {
        sendErrorAndClose(statusUnavailable, code, why);
    } else {
        closeIdle(now);
    }
}

void caller_connection::start()
{
    m_stream->setListener(this);
    m_stream->startReading();
}

void caller_connection::onBytes(std::string_view bytes)
{
    const auto self = shared_from_this();
    m_lastActivityAt = m_services.clock.now();
    m_unparsed.append(bytes);
    parse();
    if (!m_closed && m_unparsed.size() > maxReadAhead()) {
        m_stream->stopReading();
    }
}

void caller_connection::parse()
{
    if (m_parsing) {
        return;
    }
    m_parsing = true;
    while (!m_closed && m_exchange == nullptr && !m_unparsed.empty()) {
        const catalog::request_limits &limits = m_services.routes.limits();
        if (!m_parser.started()) {
            m_awaitsTaking = m_stream->queued() > maxUntakenBytes && !refusesRequests() && !m_callerEnded;
            if (m_awaitsTaking) {
                break;
            }
            m_requestStartedAt = m_lastActivityAt;
            m_maxHeadBytes = 0;
            m_maxBodyBytes = 0;
        }
        m_maxHeadBytes = std::max(m_maxHeadBytes, limits.maxHeadBytes);
        m_maxBodyBytes = std::max(m_maxBodyBytes, limits.maxBodyBytes);
        m_parser.setMaxHeadBytes(m_maxHeadBytes);
        const bool wasInBody = m_parser.state() == http1::parse_state::body;
        const std::size_t consumed = m_parser.feed(m_unparsed);
        m_unparsed.erase(0, consumed);
        if (m_unparsed.empty() && m_unparsed.capacity() > keptBufferBytes) {
            // An empty string keeps its memory as long as the connection lives.
            std::exchange(m_unparsed, {});
        }
        switch (m_parser.state()) {
        case http1::parse_state::head:
            break;
        case http1::parse_state::body:
        case http1::parse_state::complete:
            m_hadHead = true;
            if (m_parser.body().size() > m_maxBodyBytes
                || m_parser.announcedBytes() > m_maxBodyBytes - m_parser.body().size()) {
                turnAway(statusContentTooLarge, "body_too_large", "the body is longer than allowed");
            } else if (m_parser.state() == http1::parse_state::complete) {
                startExchange();
            } else {
                extendBodyTime(wasInBody ? std::optional(consumed) : std::nullopt);
                if (!wasInBody || m_parser.body().size() >= m_bodyMark + leastProgress) {
                    m_bodyMark = m_parser.body().size();
                    m_bodyGrewAt = m_lastActivityAt;
                }
                sendContinueIfExpected();
                countBody();
            }
            break;
        case http1::parse_state::malformed:
            turnAway(statusBadRequest, "malformed_request", m_parser.fault());
            break;
        case http1::parse_state::head_too_long:
            turnAway(statusHeadersTooLarge, "head_too_large", "the head is longer than allowed");
            break;
        }
    }
    m_parsing = false;
}

std::size_t caller_connection::maxReadAhead() const
{
    const overload::byte_account &account = m_services.heldBytes;
    return account.heldBytes() > account.limit() / 2 ? maxReadAheadWithLittleRoom : maxReadAheadBytes;
}

void caller_connection::countBody()
{
    const std::size_t bytes = m_parser.body().size();
    if (m_bodyHolding == nullptr) {
        if (bytes <= shortBodyBytes) {
            return;
        }
        m_bodyHolding = m_services.heldBytes.hold(m_peerAddress, [this] {
            onRoomForBody();
        });
    }
    if (!m_bodyHolding->resize(bytes) && !std::exchange(m_awaitsRoom, true)) {
        m_awaitsRoomSince = m_services.clock.now();
        m_stream->stopReading();
    }
}

void caller_connection::onRoomForBody()
{
    m_awaitsRoom = false;
    // The caller wasn't silent meanwhile.
    m_lastActivityAt = m_services.clock.now();
    m_bodyEndsBy += m_lastActivityAt - m_awaitsRoomSince;
    m_bodyGrewAt = m_lastActivityAt;
    m_stream->startReading();
}

void caller_connection::extendBodyTime(std::optional<std::size_t> bytes)
{
    const core::monotonic_time latest = m_lastActivityAt + longestPauseInIdleTimes * m_idleAllowance.timeout();
    const auto count = static_cast<std::int64_t>(bytes.value_or(0));
    const auto earned = std::chrono::nanoseconds(std::chrono::seconds(1)) * count / leastBodyBytesPerSecond;
    m_bodyEndsBy = bytes ? std::min(m_bodyEndsBy + earned, latest) : latest;
}

void caller_connection::dropRequestBytes()
{
    m_requestHeadMemory = 0;
    m_bodyHolding.reset();
    m_shortRequestBytes = 0;
}

bool caller_connection::refusesRequests() const
{
    return m_refuseFrom && m_services.clock.now() >= *m_refuseFrom;
}

void caller_connection::goOn()
{
    m_awaitsTaking = false;
    m_lastActivityAt = m_services.clock.now();
    m_stream->startReading();
    parse();
}

void caller_connection::startExchange()
{
    const http1::message_head &head = m_parser.head();
    m_acceptsChunkedBody = head.minorVersion >= 1;
    // The end of the connection is the only end of a body that is neither chunked nor of a known length.
    m_keepAlive = m_parser.keepsAlive() && m_acceptsChunkedBody;
    if (head.target.empty() || head.target.front() != '/' || !head.has("Host") || head.method == "CONNECT") {
        turnAway(statusBadRequest, "malformed_request", "no host, or a target that is no path");
        return;
    }
    if (refusesRequests()) {
        refuseRequest(stoppingCode, stoppingWhy);
        return;
    }
    if (m_stream->hasPeerEnded()) {
        // The end lies behind the request.
        m_callerEnded = true;
        refuseRequest(endedCode, endedWhy);
        return;
    }
    if (m_services.heldBytes.isOverfull()) {
        countTurnedAway(noMemoryCode);
        refuseRequest(noMemoryCode, noMemoryWhy, memoryRetryAfter);
        return;
    }
    if (m_bodyHolding != nullptr) {
        static_cast<void>(m_bodyHolding->resize(m_parser.body().size()));
        static_cast<void>(m_bodyHolding->settle());
        m_awaitsRoom = false;
    } else {
        m_shortRequestBytes = m_parser.body().capacity();
    }
    m_requestHeadMemory = m_parser.headMemory();
    m_exchange =
        std::make_shared<exchange>(m_services, static_cast<caller_channel &>(*this), head, std::move(m_parser.body()));
    m_parser.reset();
    m_continueSent = false;
    // A caller may pause as long as it may be idle.
    m_stream->setUnreadLimit(std::max(m_idleAllowance.timeout(), m_services.routes.limits().idleTimeout));
    const auto started = m_exchange;
    started->start();
}

void caller_connection::sendContinueIfExpected()
{
    if (!m_continueSent && http1::equalsIgnoreCase(m_parser.head().value("Expect"), "100-continue")) {
        m_continueSent = true;
        m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void caller_connection::refuseRequest(std::string_view code, std::string_view why, std::chrono::milliseconds retryAfter)
{
    const request_metadata request = m_services.format.readRequest(m_parser.head());
    if (const auto unlogged = m_logRates->requests.tryWrite(m_services.clock.now())) {
        log::write(log::level::info, "request refused",
                   {{"request_id", request.id}, {"why", why}, {"unlogged", *unlogged}});
    }
    local_response response;
    response.status = statusUnavailable;
    response.code = code;
    response.message = why;
    response.retryAfter = retryAfter;
    response.connection = decideTerms();
    response.omitsBody = m_parser.head().method == "HEAD";
    std::string out;
    m_services.format.appendLocalResponse(out, response, request.id);
    m_stream->write(out);
    if (m_closeAnnounced) {
        end(connection_end::finished);
        return;
    }
    m_parser.reset();
    dropRequestBytes();
    m_continueSent = false;
}

void caller_connection::turnAway(int status, std::string_view code, std::string_view why)
{
    countTurnedAway(code);
    sendErrorAndClose(status, code, why);
}

void caller_connection::countTurnedAway(std::string_view code)
{
    m_services.metrics.count("medlarrack_gateway_refused_peers_total",
                             "Peers that were turned away because they or others are outside the limits",
                             {.code = std::string(code)});
}

void caller_connection::sendErrorAndClose(int status, std::string_view code, std::string_view why,
                                          std::optional<std::chrono::milliseconds> retryAfter)
{
    if (const auto unlogged = m_logRates->connections.tryWrite(m_services.clock.now())) {
        log::write(log::level::info, "connection refused",
                   {{"status", status}, {"code", code}, {"why", why}, {"unlogged", *unlogged}});
    }
    local_response response;
    response.status = status;
    response.code = code;
    response.message = why;
    response.retryAfter = retryAfter;
    response.connection.closes = true;
    std::string out;
    m_services.format.appendLocalResponse(out, response, "");
    m_stream->write(out);
    end(connection_end::finished);
}

void caller_connection::write(std::string_view bytes)
{
    m_services.ownLoad.recordSent(bytes.size());
    m_stream->write(bytes);
}

std::size_t caller_connection::queuedBytes() const
{
    return m_stream->queued();
}

connection_terms caller_connection::decideTerms()
{
    // Pipelined requests have been received, so they are answered too.
    const bool hasNextRequest = !m_unparsed.empty() || hasUnreadBytes();
    const bool shouldLeave = m_draining || m_callerEnded || m_services.ownLoad.closesConnection();
    m_closeAnnounced = !m_keepAlive || (shouldLeave && !hasNextRequest);
    if (m_closeAnnounced) {
        return {.closes = true};
    }
    if (m_draining) {
        // It is kept for requests that have been received only.
        return {};
    }
    return {.reusableFor = m_idleAllowance.announce(m_services.routes.limits().idleTimeout)};
}

bool caller_connection::acceptsChunkedBody() const
{
    return m_acceptsChunkedBody;
}

void caller_connection::onResponseComplete()
{
    m_lastActivityAt = m_services.clock.now();
    m_idleAllowance.onIdle(m_services.routes.limits().idleTimeout);
    m_exchange = nullptr;
    dropRequestBytes();
    if (m_closeAnnounced) {
        end(connection_end::finished);
        return;
    }
    if (m_refuseFrom && m_lastActivityAt >= *m_refuseFrom && m_unparsed.empty() && !hasUnreadBytes()) {
        closeIdle(m_lastActivityAt);
        return;
    }
    m_stream->startReading();
    parse();
}

void caller_connection::onResponseAborted()
{
    m_exchange = nullptr;
    end(connection_end::aborted);
}

void caller_connection::onWritten()
{
    if (m_exchange != nullptr) {
        m_exchange->onCallerWritable();
    } else if (m_awaitsTaking) {
        const auto self = shared_from_this();
        goOn();
    }
}

void caller_connection::onPeerEnd()
{
    const auto self = shared_from_this();
    m_callerEnded = true;
    if (const auto current = m_exchange) {
        current->onCallerEnded(endedCode, endedWhy, promptRetryAfter);
    } else if (m_awaitsTaking) {
        goOn();
    }
    if (!m_closed) {
        end(connection_end::finished);
    }
}

void caller_connection::onLost(std::string_view)
{
    const auto self = shared_from_this();
    end(connection_end::lost);
}

void caller_connection::tick(core::monotonic_time now)
{
    if (m_closed) {
        return;
    }
    const auto self = shared_from_this();
    if (const std::size_t taken = m_stream->sent(); taken != m_takenBytes || m_stream->queued() == 0) {
        m_takenBytes = taken;
        m_tookAt = now;
    }
    if (m_exchange != nullptr) {
        const auto current = m_exchange;
        current->tick(now);
        return;
    }
    if (m_awaitsRoom) {
        // Its bytes are left unread on purpose.
        return;
    }
    if (m_awaitsTaking) {
        // The stream gives up a caller that takes nothing.
        if (refusesRequests()) {
            goOn();
        }
        return;
    }
    const catalog::request_limits &limits = m_services.routes.limits();
    m_idleAllowance.onStateChange(limits.idleTimeout);
    // Its caller has yet to take the last response.
    if (hasUnsentBytes()) {
        m_lastActivityAt = now;
    }
    const bool headTimedOut = m_parser.started() && m_parser.state() == http1::parse_state::head
        && now - m_requestStartedAt >= limits.headTimeout;
    const bool bodyTimedOut = m_parser.state() == http1::parse_state::body && now >= m_bodyEndsBy;
    const bool isOverdue = headTimedOut || bodyTimedOut || now - m_lastActivityAt >= m_idleAllowance.timeout();
    // Unread bytes have come in time, but the process was busy or frozen.
    if (!isOverdue || hasUnreadBytes()) {
        return;
    }
    if (isIdle()) {
        closeIdle(now);
    } else {
        turnAway(statusRequestTimeout, "request_timeout", "the request was not sent in time");
    }
}

void caller_connection::closeIdle(core::monotonic_time now)
{
    log::write(log::level::info, "idle connection closed",
               {{"idle_ms", inMilliseconds(now - m_lastActivityAt)},
                {"idle_timeout_ms", m_idleAllowance.timeout().count()},
                {"state_version", m_services.routes.version()}});
    end(connection_end::finished_unread);
}

void caller_connection::drain()
{
    m_draining = true;
}

void caller_connection::refuseRequestsFrom(core::monotonic_time time)
{
    m_refuseFrom = std::min(m_refuseFrom.value_or(time), time);
}

void caller_connection::closeIfIdle()
{
    if (!m_closed && isIdle() && !hasUnreadBytes()) {
        closeIdle(m_services.clock.now());
    }
}

bool caller_connection::isClosed() const
{
    return m_closed;
}

bool caller_connection::isOpen() const
{
    return m_stream->isOpen();
}

bool caller_connection::hasUnsentBytes() const
{
    return untakenBytes() > 0;
}

std::size_t caller_connection::untakenBytes() const
{
    return m_stream->isOpen() ? m_stream->queued() : 0;
}

bool caller_connection::awaitsTaking() const
{
    return m_awaitsTaking && !m_closed;
}

bool caller_connection::hasUnreadBytes() const
{
    return m_stream->hasUnreadBytes();
}

std::size_t caller_connection::smallBytes() const
{
    const std::size_t received = m_bodyHolding == nullptr ? m_parser.body().capacity() + m_shortRequestBytes : 0;
    return m_unparsed.capacity() + m_parser.headMemory() + m_requestHeadMemory + received + untakenBytes();
}

std::size_t caller_connection::headMemory() const
{
    const bool isReceived = !m_closed && m_parser.started() && m_parser.state() == http1::parse_state::head;
    return isReceived ? m_parser.headMemory() : 0;
}

std::optional<std::chrono::nanoseconds> caller_connection::headAge(core::monotonic_time now) const
{
    return headMemory() == 0 || hasUnreadBytes() ? std::nullopt : std::optional(now - m_requestStartedAt);
}

const std::string &caller_connection::peerAddress() const
{
    return m_peerAddress;
}

std::size_t caller_connection::bodyBytes() const
{
    return m_parser.body().size();
}

std::optional<std::chrono::nanoseconds> caller_connection::bodyStandstill(core::monotonic_time now) const
{
    if (m_closed || m_exchange != nullptr || m_awaitsRoom || m_parser.state() != http1::parse_state::body
        || hasUnreadBytes()) {
        return std::nullopt;
    }
    return now - m_bodyGrewAt;
}

std::optional<std::chrono::nanoseconds> caller_connection::roomWait(core::monotonic_time now) const
{
    return m_awaitsRoom && !m_closed ? std::optional(now - m_awaitsRoomSince) : std::nullopt;
}

std::optional<std::chrono::nanoseconds> caller_connection::takingStandstill(core::monotonic_time now) const
{
    return untakenBytes() > 0 ? std::optional(now - m_tookAt) : std::nullopt;
}

std::optional<std::chrono::nanoseconds> caller_connection::timeWithoutHead(core::monotonic_time now) const
{
    return m_closed || m_hadHead || hasUnreadBytes() ? std::nullopt : std::optional(now - m_connectedAt);
}

void caller_connection::refuseForMemory()
{
    const auto self = shared_from_this();
    sendErrorAndClose(statusUnavailable, noMemoryCode, noMemoryWhy, memoryRetryAfter);
}

void caller_connection::refuseSlowHead()
{
    const auto self = shared_from_this();
    sendErrorAndClose(statusRequestTimeout, "request_timeout", "the head was slow while memory was short");
}

void caller_connection::dropUntaken()
{
    const auto self = shared_from_this();
    if (const auto current = m_exchange) {
        current->abandon(noMemoryCode, noMemoryWhy, memoryRetryAfter);
    }
    if (!m_closed) {
        end(connection_end::aborted);
    }
    m_stream->abortUnsent();
}

void caller_connection::dropWithoutHead()
{
    const auto self = shared_from_this();
    end(connection_end::closed);
}

bool caller_connection::isIdle() const
{
    return m_exchange == nullptr && !m_parser.started() && !m_awaitsTaking;
}

} // namespace medlarrack::gateway
