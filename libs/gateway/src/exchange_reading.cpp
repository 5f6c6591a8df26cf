// How an exchange reads the response of a replica, and what the end of a response means for the request.

#include "exchange.hpp"
#include "milliseconds.hpp"

#include <medlarrack/http1/answer_origin.hpp>
#include <medlarrack/log/log.hpp>

#include <array>
#include <cstdio>
#include <utility>

namespace medlarrack::gateway {

namespace {

/// Bytes queued for a slow caller above which the gateway stops reading from the replica.
constexpr std::size_t maxRelayBufferBytes = 262'144;

void appendChunk(std::string &out, std::string_view bytes)
{
    std::array<char, 20> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    out.append(size.data(), static_cast<std::size_t>(length));
    out += bytes;
    out += "\r\n";
}

constexpr int statusOk = 200;

/// Multiples of its usual duration of work from which a replica is logged as slow, and below which it no longer is.
constexpr double slowReplicaStart = 2;
constexpr double slowReplicaEnd = 1.4;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

http1::head_verdict exchange::onHead(const http1::message_head &head)
{
    response_metadata metadata = m_services.format.readResponse(head);
    switch (http1::findAnswerOrigin(m_requestMetadata.id, metadata.id, m_connection->hasAnswered())) {
    case http1::answer_origin::own:
        break;
    case http1::answer_origin::other:
        log::write(
            log::level::info, "answer to another request dropped",
            {{"request_id", m_requestMetadata.id}, {"answer_to", metadata.id}, {"replica", m_replica->record.id}});
        return http1::head_verdict::skip;
    case http1::answer_origin::unproven:
        failUnprovenAnswer(head.status);
        return http1::head_verdict::skip;
    }
    if (metadata.id.empty()) {
        // The next answer of such a replica would prove nothing on this connection.
        m_connection->closeAfterAnswer();
    }
    const core::monotonic_time now = m_services.clock.now();
    updateReplicaAvailability(metadata);
    // A misdirected response may come from another replica, so it doesn't show that this one is alive.
    if (!metadata.misdirected) {
        m_services.crashDetector.recordTargetAnswer({m_replicaId, m_replicaStartedAtMs}, m_sentAt, now);
    }
    m_timeToFirstByte = now - m_sentAt;
    m_lastProgressAt = now;
    if (metadata.load) {
        m_replica->setReportedLoad(metadata.load->running + metadata.load->waiting, now);
        // A misdirected response may come from another replica.
        if (metadata.load->workPercent && !metadata.misdirected) {
            m_replica->speed.recordPercent(*metadata.load->workPercent, now);
        }
    }
    m_responseMetadata = std::move(metadata);
    if (!m_responseHeadSent) {
        m_responseHead = head;
    } else {
        m_responseHead.status = head.status;
    }
    if (announcesTooMuch(head)) {
        failEndlessResponse("announced body");
        return http1::head_verdict::skip;
    }
    return http1::head_verdict::take;
}

void exchange::onBody(std::string &body)
{
    const response_bounds &bounds = m_services.responseBounds;
    m_responseBytes += body.size();
    if (m_responseMetadata.notRun) {
        body.clear();
        if (m_responseBytes > kilobytes(bounds.maxBodyKb)) {
            // The head has stated that the request did not run.
            const auto self = shared_from_this();
            recordEndlessResponse("body of a rejection");
            onRejected();
        }
        return;
    }
    if (isReplicaStream()) {
        // All events of one run come from one version, whatever is learned of its replica meanwhile.
        const bool hasRelayed = m_eventSplitter.eventCount() > m_eventsBeforeRun;
        if (!hasRelayed && m_origin != resumption::unknownOrigin && !isRunOfOrigin()) {
            failRunOfOtherOrigin(body);
            return;
        }
        relayEvents(body);
        if (m_partialEventBytes > kilobytes(bounds.maxEventKb)) {
            failEndlessResponse("event");
        } else if (m_responseBytes > kilobytes(bounds.maxStreamKb)) {
            failEndlessResponse("event stream");
        }
        return;
    }
    m_lastProgressAt = m_services.clock.now();
    if (m_responseBytes > kilobytes(bounds.maxBodyKb)) {
        failEndlessResponse("body");
        return;
    }
    collectBody(body);
    body.clear();
}

void exchange::recordEndlessResponse(std::string_view what)
{
    log::write(log::level::warning, "response of a replica exceeds its bound",
               {{"request_id", m_requestMetadata.id},
                {"replica", m_replicaId},
                {"what", what},
                {"bytes", static_cast<std::uint64_t>(m_responseBytes)}});
    m_services.metrics.count("medlarrack_gateway_endless_responses_total", "Responses that exceeded a bound",
                             {.service = m_serviceName});
    closeConnection();
}

void exchange::failEndlessResponse(std::string_view what)
{
    const auto self = shared_from_this();
    recordEndlessResponse(what);
    dropBody();
    onAttemptFailed(attempt_outcome::unknown, "the response exceeds its bound", false);
}

void exchange::failUnprovenAnswer(int status)
{
    const auto self = shared_from_this();
    log::write(log::level::warning, "answer may be an earlier one",
               {{"request_id", m_requestMetadata.id}, {"replica", m_replicaId}, {"status", status}});
    m_services.metrics.count("medlarrack_gateway_unproven_answers_total",
                             "Answers that may have been to an earlier request", {.service = m_serviceName});
    closeConnection();
    onAttemptFailed(attempt_outcome::unknown, "the answer may be an earlier one", false);
}

void exchange::relayEvents(std::string &body)
{
    const std::size_t eventsBefore = m_eventSplitter.eventCount();
    const std::string events = m_eventSplitter.takeCompleteEvents(body);
    m_partialEventBytes = body.size();
    if (events.empty()) {
        return;
    }
    if (m_eventSplitter.eventCount() > eventsBefore) {
        m_lastProgressAt = m_services.clock.now();
        pinOrigin();
        if (hasAnswerBegun()) {
            clearPartsOfSuspicion();
        }
    }
    std::string out;
    clearPendingPrefillTokens();
    beginStream(out);
    if (m_caller->acceptsChunkedBody()) {
        appendChunk(out, events);
    } else {
        out += events;
    }
    m_caller->write(out);
    if (m_caller->queuedBytes() > maxRelayBufferBytes && !m_readPaused) {
        m_readPaused = true;
        m_connection->pause();
    }
}

void exchange::beginStream(std::string &out)
{
    if (std::exchange(m_responseHeadSent, true)) {
        return;
    }
    recordSuccess();
    m_replica->prefill.recordFirstEvent(m_tokensToFirstEvent, m_services.clock.now() - m_sentAt);
    const body_framing framing = m_caller->acceptsChunkedBody() ? body_framing::chunked : body_framing::none;
    m_services.format.appendResponseHead(out, m_responseHead, framing, 0, m_caller->decideTerms());
}

void exchange::recordSuccess()
{
    const core::monotonic_time now = m_services.clock.now();
    const std::uint32_t waiting = m_responseMetadata.load ? m_responseMetadata.load->waiting : 0;
    m_replica->recordSuccess(now - m_sentAt, waiting, now);
    const double slowdown = m_replica->speed.slowdown(now);
    const bool isSlow = slowdown >= (m_replica->loggedSlow ? slowReplicaEnd : slowReplicaStart);
    if (isSlow != std::exchange(m_replica->loggedSlow, isSlow)) {
        constexpr double percent = 100;
        log::write(log::level::info, isSlow ? "replica is slower than usual" : "replica is as fast as usual again",
                   {{"replica", m_replicaId},
                    {"service", m_serviceName},
                    {"work_percent", static_cast<std::uint64_t>(slowdown * percent)},
                    {"work_ms", inMilliseconds(m_replica->speed.workTime(now).value_or(std::chrono::nanoseconds(0)))}});
    }
}

void exchange::onCallerWritable()
{
    if (m_readPaused && m_connection != nullptr) {
        m_readPaused = false;
        m_connection->resume();
    }
}

void exchange::onComplete()
{
    const auto self = shared_from_this();
    connection_ptr connection = std::exchange(m_connection, nullptr);
    const bool endsWithConnection = connection->responseEndsWithConnection();
    m_services.connectionPool.release(*m_replica, std::move(connection));
    if (endsWithConnection && endsAsAsked()) {
        return;
    }
    if (m_responseMetadata.notRun) {
        onRejected();
        return;
    }
    const bool success = isSuccess(m_responseHead.status);
    if (success && (!m_responseMetadata.isSigned || m_responseMetadata.isEncoded)) {
        onAttemptFailed(attempt_outcome::unknown, "the answer lacks a replica's signature", endsWithConnection);
        return;
    }
    if (m_responseHeadSent || isReplicaStream()) {
        completeStream(endsWithConnection);
        return;
    }
    if (success) {
        recordSuccess();
        sendResponse();
        return;
    }
    constexpr int firstServerError = 500;
    if (m_responseHead.status >= firstServerError) {
        m_replica->recordFailure(false, m_services.clock.now());
        if (mayRetry(*m_route, attempt_outcome::unknown, m_history)
            && m_services.retryBudgetFor(m_serviceName).tryRetry(m_services.clock.now())) {
            const int status = m_responseHead.status;
            holdErrorResponse();
            retryElsewhere("the replica answered " + std::to_string(status));
            return;
        }
    }
    sendResponse();
}

bool exchange::isReplicaStream() const
{
    return m_responseHead.status == statusOk && m_responseMetadata.isSigned && !m_responseMetadata.isEncoded
        && m_responseMetadata.isEventStream;
}

ended_run exchange::describeEndedRun(bool endsWithConnection) const
{
    ended_run run;
    run.isReplicaStream = isReplicaStream();
    run.endsWithConnection = endsWithConnection;
    run.events = m_eventSplitter.eventCount() - m_eventsBeforeRun;
    run.partialEventBytes = m_partialEventBytes;
    run.hasCallerEvents = m_responseHeadSent || resumesStream();
    return run;
}

void exchange::completeStream(bool endsWithConnection)
{
    if (!endsStream(describeEndedRun(endsWithConnection))) {
        onAttemptFailed(attempt_outcome::unknown, "the response doesn't show that the stream is whole",
                        endsWithConnection);
        return;
    }
    std::string out;
    beginStream(out);
    if (m_caller->acceptsChunkedBody()) {
        out += "0\r\n\r\n";
    }
    m_caller->write(out);
    clearPartsOfSuspicion();
    m_services.crashDetector.recordAnswer(m_fingerprint, m_services.clock.now());
    finish("ran", m_responseHead.status, m_choiceReason);
}

void exchange::onRejected()
{
    --m_history.runs;
    ++m_history.rejections;
    withdrawProbe();
    const core::monotonic_time now = m_services.clock.now();
    if (m_responseMetadata.misdirected && !m_requestMetadata.adapter.empty() && m_replica->agent) {
        // The adapter has been unloaded since the agent's last status. The replica may be tried again after a load.
        m_replica->agent->adapters.erase(m_requestMetadata.adapter);
        m_triedReplicas.pop_back();
    } else if (m_responseMetadata.misdirected) {
        // Without an agent, the instance list may name an adapter that has been unloaded.
        const bool adapterLeft = m_replica->record.adapters.erase(m_requestMetadata.adapter) > 0;
        if (!adapterLeft) {
            m_replica->recordFailure(true, now);
            m_services.requestListRefresh();
        }
    } else if (!m_responseMetadata.load && !m_replica->agent) {
        m_replica->assumeFull(now);
    }
    if (mayRetry(*m_route, attempt_outcome::not_run, m_history)
        && m_services.retryBudgetFor(m_serviceName).tryRetry(now)) {
        retryElsewhere("the replica did not run it");
        return;
    }
    releaseReplica();
    refuse(refusal_cause::rejected, "rejected", "the replicas did not run the request");
}

void exchange::onFailed(http1::call_progress progress, std::string_view why)
{
    const auto self = shared_from_this();
    m_connection = nullptr;
    if (endsAsAsked()) {
        return;
    }
    if (m_responseMetadata.notRun) {
        // The head has stated it; the rest of the body isn't needed.
        onRejected();
        return;
    }
    const bool notSent = progress == http1::call_progress::not_sent;
    if (notSent) {
        m_services.crashDetector.recordTargetEnd(m_replicaId, m_services.clock.now());
        --m_history.runs;
        ++m_history.rejections;
        withdrawProbe();
    }
    onAttemptFailed(notSent ? attempt_outcome::not_run : attempt_outcome::unknown, why);
}

void exchange::onAttemptFailed(attempt_outcome end, std::string_view why, bool disconnected)
{
    m_replica->recordFailure(end == attempt_outcome::not_run, m_services.clock.now());
    if (end == attempt_outcome::unknown) {
        recordLostRun(why, disconnected);
    }
    if (mayRetry(*m_route, end, m_history)
        && m_services.retryBudgetFor(m_serviceName).tryRetry(m_services.clock.now())) {
        retryElsewhere(why);
        return;
    }
    releaseReplica();
    if (end == attempt_outcome::not_run && m_history.runs == 0) {
        refuse(refusal_cause::rejected, "not_reached", why);
    } else if (!returnToSilentReplica()) {
        constexpr int statusBadGateway = 502;
        respondWithError(statusBadGateway, "attempt_failed", why);
    }
}

} // namespace medlarrack::gateway
