// How an exchange responds to its caller: with the response of a replica, one of the gateway, or a reset connection.

#include "exchange.hpp"
#include "milliseconds.hpp"

#include <medlarrack/log/log.hpp>

#include <tuple>
#include <utility>

namespace medlarrack::gateway {

namespace {

constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

} // namespace

void exchange::sendResponse()
{
    constexpr int firstErrorStatus = 400;
    std::string out;
    const bool hasNoBody =
        m_requestHead.method == "HEAD" || m_responseHead.status == 204 || m_responseHead.status == 304;
    m_services.format.appendResponseHead(out, m_responseHead, hasNoBody ? body_framing::none : body_framing::length,
                                         m_responseBody.size(), m_caller->decideTerms());
    // Copying a short body is cheaper than another system call.
    constexpr std::size_t maxCopiedBytes = 65'536;
    const bool isCopied = !hasNoBody && m_responseBody.size() <= maxCopiedBytes;
    if (isCopied) {
        out += m_responseBody;
    }
    m_responseHeadSent = true;
    m_caller->write(out);
    if (!hasNoBody && !isCopied) {
        m_caller->write(m_responseBody);
    }
    if (m_responseHead.status < firstErrorStatus) {
        clearPartsOfSuspicion();
    }
    m_services.crashDetector.recordAnswer(m_fingerprint, m_services.clock.now());
    finish("ran", m_responseHead.status, m_choiceReason);
}

bool exchange::sendHeldError()
{
    if (m_responseHeadSent || !m_heldErrorResponse) {
        return false;
    }
    std::tie(m_responseHead, m_responseBody) = *std::exchange(m_heldErrorResponse, std::nullopt);
    sendResponse();
    return true;
}

void exchange::refuse(refusal_cause cause, std::string_view code, std::string_view why)
{
    if (m_history.runs > 0) {
        if (cause != refusal_cause::crashes_replicas && returnToSilentReplica()) {
            return;
        }
        // A refusal states that the request has not run.
        respondWithError(statusBadGateway, code, why);
        return;
    }
    const bool quiet = cause != refusal_cause::crashes_replicas
        && allAreQuiet(m_services.replicas, m_serviceName, m_services.clock.now());
    if (quiet) {
        cause = refusal_cause::quiet;
        code = "replicas_quiet";
        why = "all replicas asked for quiet or limit their requests";
    }
    sendRefusal(code, why,
                retryAfter(cause, m_services.replicas, m_serviceName, m_services.clock.now(),
                           static_cast<std::uint32_t>(m_services.random())));
}

void exchange::sendRefusal(std::string_view code, std::string_view why, std::chrono::milliseconds retryAfter,
                           int status)
{
    local_response response;
    response.status = status;
    response.code = code;
    response.message = why;
    response.retryAfter = retryAfter;
    sendLocalResponse(response, "not_run");
}

void exchange::abandon(std::string_view code, std::string_view why, std::chrono::milliseconds retryAfter)
{
    if (m_finished) {
        return;
    }
    const auto self = shared_from_this();
    const request_ending ending = chooseEnding(progress());
    m_waitingForAdapter = false;
    leaveCapacityQueue();
    m_nextDispatchAt.reset();
    withdrawProbe();
    closeConnection();
    releaseReplica();
    switch (ending) {
    case request_ending::refused:
        sendRefusal(code, why, retryAfter);
        break;
    case request_ending::failed:
        respondWithError(statusBadGateway, code, why);
        break;
    case request_ending::timed_out:
        respondWithError(statusGatewayTimeout, code, why);
        break;
    case request_ending::broken_off:
        abortResponse(why);
        break;
    }
}

request_progress exchange::progress() const
{
    const bool isOverdue = m_route != nullptr && m_services.clock.now() >= m_deadline;
    return {m_history.runs > 0, m_responseHeadSent, isOverdue};
}

void exchange::onCallerEnded(std::string_view code, std::string_view why, std::chrono::milliseconds retryAfter)
{
    if (m_finished) {
        return;
    }
    const auto self = shared_from_this();
    local_response response;
    response.code = code;
    response.message = why;
    response.omitsBody = m_requestHead.method == "HEAD";
    const request_ending ending = chooseEnding(progress());
    switch (ending) {
    case request_ending::refused:
        response.status = statusUnavailable;
        response.retryAfter = retryAfter;
        break;
    case request_ending::failed:
        response.status = statusBadGateway;
        break;
    case request_ending::timed_out:
        response.status = statusGatewayTimeout;
        break;
    case request_ending::broken_off:
        break;
    }
    recordCallerGone();
    // Ends the run before anything is written.
    caller_channel *caller = std::exchange(m_caller, nullptr);
    finish("caller_gone", 0, describeCallerGone());
    if (ending == request_ending::broken_off) {
        caller->onResponseAborted();
        return;
    }
    response.connection = caller->decideTerms();
    std::string out;
    m_services.format.appendLocalResponse(out, response, m_requestMetadata.id);
    caller->write(out);
    caller->onResponseComplete();
}

void exchange::sendLocalResponse(local_response &response, std::string_view outcome)
{
    response.connection = m_caller->decideTerms();
    response.omitsBody = m_requestHead.method == "HEAD";
    std::string out;
    m_services.format.appendLocalResponse(out, response, m_requestMetadata.id);
    m_caller->write(out);
    m_localCode = response.code;
    finish(outcome, response.status, response.message);
}

void exchange::respondWithError(int status, std::string_view code, std::string_view why)
{
    if (sendHeldError()) {
        return;
    }
    if (m_responseHeadSent) {
        abortResponse(why);
        return;
    }
    local_response response;
    response.status = status;
    response.code = code;
    response.message = why;
    constexpr int statusUnauthorized = 401;
    constexpr int statusNotFound = 404;
    const bool isNotRun = status == statusUnauthorized || status == statusNotFound;
    sendLocalResponse(response, isNotRun ? "not_run" : "unknown");
}

void exchange::abortResponse(std::string_view why)
{
    log::write(log::level::info, "answer broken off",
               {{"request_id", m_requestMetadata.id},
                {"replica", m_replicaId},
                {"why", why},
                {"choice", m_choiceReason},
                {"silent_ms", inMilliseconds(m_services.clock.now() - m_lastProgressAt)},
                {"events", static_cast<std::uint64_t>(m_eventSplitter.eventCount())},
                {"state_version", m_services.routes.version()}});
    caller_channel *caller = m_caller;
    m_caller = nullptr;
    finish("broken_off", m_responseHead.status, why);
    caller->onResponseAborted();
}

} // namespace medlarrack::gateway
