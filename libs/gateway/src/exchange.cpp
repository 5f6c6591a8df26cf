#include "exchange.hpp"

#include "milliseconds.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/log/log.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::gateway {

namespace {

using std::chrono::milliseconds;

/// Time until the deadline of callers that send none.
constexpr milliseconds defaultTimeout{60'000};
/// Time in which a process that starts reads the published state, even at 10 Mbit/s. If the store has not answered for
/// longer than this, requests are refused rather than held for the state.
constexpr milliseconds stateLoadTime{1'200};
/// The replica itself responds when its deadline passes; the gateway waits this much longer for that response.
constexpr milliseconds deadlineGrace{200};

resumption::stream_key streamKeyFor(const request_metadata &request)
{
    const bool resumes = !request.lastEventId.empty();
    return core::hash64(resumes ? request.resumedAttempt : request.id);
}

std::uint64_t fingerprintFor(const http1::message_head &head, std::string_view body)
{
    return core::hash64({head.method, head.value("Host"), head.target, body});
}

} // namespace

exchange::exchange(exchange_services &services, caller_channel &caller, http1::message_head head, std::string body)
    : m_services(services)
    , m_caller(&caller)
    , m_requestHead(std::move(head))
    , m_requestBody(std::move(body))
    , m_requestMetadata(services.format.readRequest(m_requestHead))
    , m_fingerprint(fingerprintFor(m_requestHead, m_requestBody))
    , m_streamKey(streamKeyFor(m_requestMetadata))
    , m_startedAt(services.clock.now())
{
}

exchange::~exchange()
{
    leaveCapacityQueue();
    closeConnection();
    releaseReplica();
}

void exchange::start()
{
    advance();
}

void exchange::advance()
{
    if (m_route == nullptr) {
        if (!findRoute() || !authorize() || !admitByOwnLoad() || !admitByQuota()) {
            return;
        }
        initFromRoute();
    }
    if (m_origin != resumption::unknownOrigin || !resumesStream() || findOrigin()) {
        dispatch();
    }
}

bool exchange::findRoute()
{
    if (m_services.routes.isEmpty()) {
        const milliseconds longestHold = maxHoldTime(m_requestMetadata.timeLeft.value_or(defaultTimeout), {}, false);
        if (m_services.storeAge() < stateLoadTime && m_services.clock.now() - m_startedAt < longestHold) {
            hold("no published state is known yet");
        } else {
            refuse(refusal_cause::starting, "no_state", "no published state is known yet");
        }
        return false;
    }
    m_route = m_services.routes.find(m_requestHead.value("Host"), m_requestHead.target);
    if (m_route == nullptr) {
        constexpr int statusNotFound = 404;
        respondWithError(statusNotFound, "no_route", "no route has this host and path");
        return false;
    }
    return true;
}

bool exchange::admitByOwnLoad()
{
    // A stream that is resumed has cost the fleet more already than it costs this process now.
    if (resumesStream() || m_services.ownLoad.admits(urgency())) {
        return true;
    }
    m_services.metrics.count("medlarrack_gateway_shed_requests_total", "Requests refused by an overloaded gateway",
                             {.requestClass = std::to_string(urgency())});
    sendRefusal("gateway_overloaded", "this gateway is overloaded",
                own_load::retryAfter(static_cast<std::uint32_t>(m_services.random())));
    return false;
}

void exchange::initFromRoute()
{
    const milliseconds callerTimeout = m_requestMetadata.timeLeft.value_or(defaultTimeout);
    const auto timeout = std::min(callerTimeout, m_route->timeout);
    m_deadline = m_startedAt + timeout;
    m_serviceName = selectService(*m_route, core::hash64(m_requestMetadata.id));
    if (const catalog::service *service = m_services.routes.findService(m_serviceName);
        service != nullptr && service->engine) {
        m_engineBatchSize = service->engine->batchSize;
    }
    if (m_engineBatchSize > 0) {
        m_services.promptSizes[m_serviceName].record(m_requestMetadata.promptTokens, m_startedAt);
    }
    m_services.retryBudgetFor(m_serviceName).onFirstAttempt(m_startedAt);
    if (!m_requestMetadata.adapter.empty()) {
        m_adapterDemand = m_services.adapterDemand.recordRequest(m_requestMetadata.adapter, m_startedAt);
    }
    const bool hasLittleTime = m_services.callerRetryDetector.recordRequest(m_route->name, callerTimeout);
    m_isCallerRetry = hasLittleTime || resumesStream();
    m_holdDeadline = m_startedAt + maxHoldTime(timeout, callerIdleTimeout(*m_route), m_isCallerRetry);
    if (resumesStream()) {
        log::write(log::level::info, "stream to be resumed",
                   {{"request_id", m_requestMetadata.id},
                    {"resumes", m_requestMetadata.resumedAttempt},
                    {"last_event", m_requestMetadata.lastEventId},
                    {"service", m_serviceName}});
    }
}

void exchange::hold(std::string_view why, milliseconds interval)
{
    m_nextDispatchAt = m_services.clock.now() + interval;
    if (!std::exchange(m_holdLogged, true)) {
        log::write(log::level::info, "request held",
                   {{"request_id", m_requestMetadata.id},
                    {"why", why},
                    {"state_version", m_services.routes.version()},
                    {"store_age_ms", inMilliseconds(m_services.storeAge())}});
    }
}

void exchange::onCallerDisconnected()
{
    m_caller = nullptr;
    if (!m_finished) {
        recordCallerGone();
        finish("caller_gone", 0, describeCallerGone());
    }
}

void exchange::recordCallerGone()
{
    // A probe that its caller has left says nothing; whether its target crashed is still found out.
    withdrawProbe();
    if (m_connection != nullptr) {
        m_services.crashDetector.recordLostRun(makeLostRun(false), m_services.clock.now());
    }
}

std::string_view exchange::describeCallerGone() const
{
    return m_connection == nullptr ? "while it waited" : "while it ran";
}

void exchange::tick(core::monotonic_time now)
{
    if (m_finished) {
        return;
    }
    const auto self = shared_from_this();
    if (m_waitingForAdapter) {
        if (now >= m_holdDeadline) {
            m_waitingForAdapter = false;
            releaseReplica();
            refuse(refusal_cause::adapter_backlog, "adapter_not_loaded", "the adapter was not loaded in time");
        }
        return;
    }
    if (m_nextDispatchAt) {
        if (now >= *m_nextDispatchAt) {
            m_nextDispatchAt.reset();
            advance();
        }
        return;
    }
    if (m_stopDeadline && now >= *m_stopDeadline) {
        endStopWait();
        return;
    }
    if (m_connection == nullptr) {
        return;
    }
    if (now >= m_deadline + deadlineGrace) {
        recordLostRun("no complete response by the deadline", false);
        closeConnection();
        releaseReplica();
        constexpr int statusGatewayTimeout = 504;
        respondWithError(statusGatewayTimeout, "timeout",
                         "the replica gave no whole answer in the time for the request");
        return;
    }
    if (cancelIfCrashing(now)) {
        return;
    }
    retryIfSilent(now);
}

void exchange::closeConnection()
{
    if (m_connection != nullptr) {
        m_connection->cancel();
        m_connection = nullptr;
    }
}

void exchange::assignReplica(const replica_ptr &to)
{
    m_replica = to;
    m_replicaId = to->record.id;
    m_agentStatusAge = to->agent ? m_services.clock.now() - to->agent->updatedAt : std::chrono::nanoseconds(0);
    ++to->outstanding;
    if (!m_requestMetadata.adapter.empty()) {
        ++to->requestsByAdapter[m_requestMetadata.adapter];
    }
}

void exchange::clearPendingPrefillTokens()
{
    if (const std::uint64_t tokens = std::exchange(m_pendingPrefillTokens, 0); tokens > 0) {
        m_replica->subtractPendingPrefillTokens(tokens, m_services.clock.now());
    }
}

void exchange::releaseReplica()
{
    dropBody();
    if (m_replica == nullptr) {
        return;
    }
    m_stopDeadline.reset();
    m_nextStopAt = {};
    m_unansweredStops = 0;
    clearPendingPrefillTokens();
    endUnansweredRun();
    --m_replica->outstanding;
    if (const auto found = m_replica->requestsByAdapter.find(m_requestMetadata.adapter);
        found != m_replica->requestsByAdapter.end()) {
        if (--found->second == 0) {
            m_replica->requestsByAdapter.erase(found);
        }
    }
    m_replica = nullptr;
}

void exchange::finish(std::string_view outcome, int status, std::string_view why)
{
    m_finished = true;
    leaveCapacityQueue();
    closeConnection();
    const core::monotonic_time now = m_services.clock.now();
    log::write(log::level::info, "request ended",
               {{"request_id", m_requestMetadata.id},
                {"fingerprint", m_fingerprint},
                {"route", m_route != nullptr ? std::string_view(m_route->name) : std::string_view()},
                {"tenant", m_tenant != nullptr ? std::string_view(m_tenant->name) : std::string_view()},
                {"adapter", m_requestMetadata.adapter},
                {"replica", m_replicaId},
                {"status_age_ms", inMilliseconds(m_agentStatusAge)},
                {"outcome", outcome},
                {"status", status},
                {"why", why},
                {"runs", m_history.runs},
                {"rejections", m_history.rejections},
                {"load_waits", m_loadWaits},
                {"waited_ms", m_sentAt > m_startedAt ? inMilliseconds(m_sentAt - m_startedAt) : 0},
                {"expected_ms", inMilliseconds(m_expectedTime)},
                {"first_byte_ms", inMilliseconds(m_timeToFirstByte)},
                {"ms", inMilliseconds(now - m_startedAt)},
                {"state_version", m_services.routes.version()},
                {"store_age_ms", inMilliseconds(m_services.storeAge())}});
    m_services.metrics.observeSeconds("medlarrack_gateway_request_seconds", "Time from request to end of answer",
                                      {.code = std::string(outcome)},
                                      std::chrono::duration<double>(now - m_startedAt).count());
    recordTenantOutcome(outcome);
    releaseReplica();
    if (m_quotaCost > 0 && m_history.runs == 0) {
        m_services.tenantLimiter.giveBack(m_quotaTenant, m_quotaCost);
    }
    if (m_caller != nullptr) {
        std::exchange(m_caller, nullptr)->onResponseComplete();
    }
}

void exchange::recordTenantOutcome(std::string_view outcome)
{
    if (m_tenant == nullptr) {
        return;
    }
    const std::string_view code = m_localCode.empty() ? outcome : std::string_view(m_localCode);
    if (outcome == "ran") {
        m_services.tenantCounts.recordServed(m_tenant->name);
    } else if (outcome == "not_run") {
        m_services.tenantCounts.recordRefused(m_tenant->name, code);
    } else {
        m_services.tenantCounts.recordFailed(m_tenant->name, code);
    }
}

std::string_view exchange::requestId() const
{
    return m_requestMetadata.id;
}

std::chrono::milliseconds exchange::timeLeft(core::monotonic_time now) const
{
    return std::chrono::duration_cast<milliseconds>(m_deadline - now);
}

} // namespace medlarrack::gateway
