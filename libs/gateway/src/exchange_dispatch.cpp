// Which replica an exchange sends its request to, when it waits for an adapter, and when it is sent on.

#include "exchange.hpp"
#include "milliseconds.hpp"

#include <medlarrack/log/log.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::gateway {

namespace {

using std::chrono::milliseconds;

/// Engines at which a request may wait for its adapter, one after the other: it moves on only if an engine is lost.
constexpr std::uint32_t maxLoadWaits = 3;
/// Time subtracted from the deadline that a replica is given, for the transit of its response.
constexpr milliseconds responseTransitTime{5};
/// Longest idle time of a connection that is reused for a request that may not run again. If the replica closes an idle
/// connection just as the request is sent, it is unknown whether the request ran.
constexpr milliseconds maxIdleIfNotRepeatable{400};
constexpr milliseconds maxIdleIfRepeatable{60'000};
/// Requests that wait for capacity and are asked before another one is dispatched.
constexpr std::size_t maxAskedBefore = 8;

refusal_cause causeOf(const replica_choice &choice)
{
    if (!choice.saturated) {
        return refusal_cause::no_replica;
    }
    return choice.expectedTime.count() > 0 ? refusal_cause::replicas_busy : refusal_cause::adapter_backlog;
}

} // namespace

replica_choice exchange::chooseReplica(core::monotonic_time now, core::monotonic_time loadedBy) const
{
    const catalog::service *service = m_services.routes.findService(m_serviceName);
    std::uint32_t batchSize = m_engineBatchSize;
    if (service != nullptr) {
        batchSize = service->engine ? service->engine->batchSize : 0;
    }
    const bool hasEngine = batchSize > 0 && !m_requestMetadata.model.empty();
    choice_query query;
    query.service = m_serviceName;
    query.model = m_requestMetadata.model;
    query.adapter = m_requestMetadata.adapter;
    query.batchSize = hasEngine ? batchSize : 1;
    query.tried = m_triedReplicas;
    query.origin = m_origin;
    query.demand = m_adapterDemand;
    query.mayRunAgain = mayRetry(*m_route, attempt_outcome::unknown, {m_history.runs + 1, m_history.rejections});
    if (const auto sizes = m_services.promptSizes.find(m_serviceName); sizes != m_services.promptSizes.end()) {
        query.promptTokens = m_requestMetadata.promptTokens;
        query.sizes = &sizes->second;
        query.salt = m_fingerprint ^ m_streamKey;
    }
    query.maxLoadWait = std::chrono::duration_cast<milliseconds>(loadedBy - now);
    if (hasEngine) {
        return chooseEngine(m_services.replicas, query, now);
    }
    // A request that may have run isn't refused any more.
    if (m_history.runs == 0) {
        query.timeLeft = m_deadline - now;
    }
    query.isCallerRetry = m_isCallerRetry;
    return choosePlain(m_services.replicas, query, now, m_services.random);
}

void exchange::dispatch()
{
    const core::monotonic_time now = m_services.clock.now();
    if (now >= m_deadline) {
        if (m_history.runs > 0) {
            constexpr int statusGatewayTimeout = 504;
            respondWithError(statusGatewayTimeout, "timeout", "the time for the request is over");
        } else {
            refuse(refusal_cause::rejected, "timeout", "the time for the request is over");
        }
        return;
    }
    if (!isStillAuthorized() || holdOrRefuseIfSuspect()) {
        return;
    }
    if (m_history.runs == 0) {
        m_services.capacityWaiters.serve(m_serviceName, maxAskedBefore, now);
    }
    replica_choice choice = chooseReplica(now, m_holdDeadline);
    if (choice.target == nullptr && !m_silentReplica.empty()) {
        std::erase(m_triedReplicas, std::exchange(m_silentReplica, {}));
        m_wayBack.reset();
        choice = chooseReplica(now, m_holdDeadline);
    }
    m_choiceReason = choice.why;
    m_expectedTime = choice.expectedTime;
    if (choice.target == nullptr) {
        if (m_services.capacityWaiters.isEnabled() && m_history.runs == 0 && choice.saturated && now < m_holdDeadline) {
            waitForCapacity(now);
        } else if (now < m_holdDeadline && awaitsReplica(m_history, choice, m_isCallerRetry)) {
            hold(choice.why);
        } else if (m_history.runs > 0) {
            constexpr int statusBadGateway = 502;
            respondWithError(statusBadGateway, "no_replica", "the request may have run and no other replica is left");
        } else {
            const refusal_cause cause = causeOf(choice);
            refuse(cause, cause == refusal_cause::replicas_busy ? "replicas_busy" : "no_replica", choice.why);
        }
        return;
    }
    if (choice.alsoLoadAt != nullptr) {
        m_services.agents.requestAdapter(choice.alsoLoadAt, m_requestMetadata.adapter);
    }
    if (choice.needsLoad) {
        waitForAdapter(choice);
    } else {
        sendRequest(choice.target);
    }
}

void exchange::waitForAdapter(const replica_choice &choice)
{
    const core::monotonic_time now = m_services.clock.now();
    if (m_loadWaits >= maxLoadWaits || now >= m_holdDeadline) {
        refuse(refusal_cause::adapter_backlog, "adapter_not_loaded", "the adapter was not loaded in time");
        return;
    }
    ++m_loadWaits;
    if (!m_services.agents.requestAdapter(choice.target, m_requestMetadata.adapter)) {
        // The agent isn't connected, so the adapter can't be loaded there: tries another engine.
        m_triedReplicas.push_back(choice.target->record.id);
        const auto self = shared_from_this();
        dispatch();
        return;
    }
    assignReplica(choice.target);
    m_waitingForAdapter = true;
    log::write(log::level::info, "request waits for its adapter",
               {{"request_id", m_requestMetadata.id},
                {"replica", m_replicaId},
                {"adapter", m_requestMetadata.adapter},
                {"why", choice.why},
                {"wanted_there", choice.target->agent ? choice.target->agent->pendingLoads : 0},
                {"status_age_ms", inMilliseconds(m_agentStatusAge)},
                {"waits_until_ms", inMilliseconds(m_holdDeadline - m_startedAt)}});
    m_services.adapterWaiters.add(*choice.target, m_requestMetadata.adapter, weak_from_this());
}

void exchange::waitForCapacity(core::monotonic_time now)
{
    const auto self = shared_from_this();
    waiting_request request;
    if (m_tenant != nullptr) {
        request.tenant = m_tenant->name;
        request.weight = std::max(1.0, m_tenant->quota.perSecond);
    }
    request.urgency = urgency();
    request.isReturning = m_isCallerRetry;
    request.bytes = m_requestBody.size();
    request.latestStart = m_holdDeadline;
    m_isQueued = true;
    m_queuedAt = now;
    const std::uint64_t id = m_services.capacityWaiters.add(m_serviceName, std::move(request), weak_from_this(), now);
    if (!m_isQueued) {
        return;
    }
    m_queueId = id;
    log::write(log::level::info, "request waits for capacity",
               {{"request_id", m_requestMetadata.id},
                {"why", m_choiceReason},
                {"waits_until_ms", inMilliseconds(m_holdDeadline - m_startedAt)}});
}

void exchange::leaveCapacityQueue()
{
    m_isQueued = false;
    if (const std::uint64_t id = std::exchange(m_queueId, 0); id != 0) {
        m_services.capacityWaiters.remove(m_serviceName, id);
    }
}

bool exchange::canLeaveQueue() const
{
    const replica_choice choice = chooseReplica(m_services.clock.now(), m_holdDeadline);
    return choice.target != nullptr || !choice.saturated;
}

void exchange::leftQueue()
{
    const auto self = shared_from_this();
    m_services.metrics.observeSeconds("medlarrack_gateway_queue_wait_seconds", "Time that sent requests had waited",
                                      {.requestClass = std::to_string(urgency())},
                                      std::chrono::duration<double>(m_services.clock.now() - m_queuedAt).count());
    leaveCapacityQueue();
    dispatch();
}

void exchange::refusedByQueue(const admission_refusal &refusal)
{
    const auto self = shared_from_this();
    // Without an id it was never in the queue.
    const bool isExpired = m_queueId != 0 && refusal.why.code == deadlineUnreachable;
    m_services.metrics.count(isExpired ? "medlarrack_gateway_queue_expired_total"
                                       : "medlarrack_gateway_queue_refused_total",
                             isExpired ? "Requests that waited until their deadline could no longer be met"
                                       : "Requests that the queue had no room for, or no hope at once",
                             {.requestClass = std::to_string(urgency()), .code = refusal.why.code});
    leaveCapacityQueue();
    if (allAreQuiet(m_services.replicas, m_serviceName, m_services.clock.now())) {
        refuse(refusal_cause::quiet, refusal.why.code, refusal.why.message);
        return;
    }
    // Never earlier than adapters that are to be loaded first, and spread out so that callers don't return together.
    const milliseconds backlog = retryAfter(refusal_cause::adapter_backlog, m_services.replicas, m_serviceName,
                                            m_services.clock.now(), static_cast<std::uint32_t>(m_services.random()));
    const milliseconds jitter(static_cast<std::int64_t>(m_services.random() % (refusal.retryAfter.count() / 2 + 1)));
    sendRefusal(refusal.why.code, refusal.why.message, std::max(backlog, refusal.retryAfter + jitter));
}

void exchange::adapterLoaded()
{
    if (!m_waitingForAdapter || m_finished) {
        return;
    }
    m_waitingForAdapter = false;
    const replica_ptr loadedReplica = m_replica;
    releaseReplica();
    const bool isOfOrigin = m_origin == resumption::unknownOrigin || mayResume(*loadedReplica, m_origin);
    if (!isOfOrigin || !loadedReplica->requestLimit.admits(m_services.clock.now())) {
        dispatch();
    } else if (isStillAuthorized() && !holdOrRefuseIfSuspect()) {
        sendRequest(loadedReplica);
    }
}

void exchange::engineLost()
{
    if (!m_waitingForAdapter || m_finished) {
        return;
    }
    m_waitingForAdapter = false;
    m_triedReplicas.push_back(m_replica->record.id);
    releaseReplica();
    dispatch();
}

void exchange::sendRequest(const replica_ptr &to)
{
    const core::monotonic_time now = m_services.clock.now();
    assignReplica(to);
    m_pendingPrefillTokens = m_requestMetadata.promptTokens;
    if (m_pendingPrefillTokens > 0) {
        to->addPendingPrefillTokens(m_pendingPrefillTokens, now);
    }
    // A request that waits for a slot, or goes on with a stream, isn't prefilled at once or as a whole.
    m_tokensToFirstEvent = m_pendingPrefillTokens > 0 && to->load() <= to->record.slots
            && m_origin == resumption::unknownOrigin && m_copiedMemory.second.empty()
        ? to->prefill.remainingTokens(to->totalPendingPrefillTokens(), now)
        : 0;
    ++m_history.runs;
    m_triedReplicas.push_back(to->record.id);
    // The answer to a request without an id names none, so that an earlier one can't be told from it.
    m_connection = m_requestMetadata.id.empty()
        ? m_services.connectionPool.connect(*to)
        : m_services.connectionPool.acquire(
            *to, catalog::mayRetryAfterStart(*m_route) ? maxIdleIfRepeatable : maxIdleIfNotRepeatable,
            m_usedConnections);
    m_usedConnections.push_back(m_connection);
    m_sentAt = now;
    m_runOrigin = to->origin;
    m_replicaStartedAtMs = to->agent ? to->agent->startedAtMs : to->record.startedAtMs;
    m_lastProgressAt = now;
    to->requestLimit.recordRequest(now);
    m_services.crashDetector.addUnansweredRun(m_requestMetadata.sharedParts);
    m_isUnanswered = true;
    m_runsAsProbe = std::exchange(m_isCrashProbe, false);
    if (m_runsAsProbe) {
        recordCrashProbe();
        log::write(log::level::info, "refused request probed",
                   {{"request_id", m_requestMetadata.id}, {"fingerprint", m_fingerprint}, {"replica", m_replicaId}});
    }
    dropBody();
    m_responseBytes = 0;
    m_responseMetadata.notRun = false;
    m_eventsBeforeRun = m_eventSplitter.eventCount();
    m_partialEventBytes = 0;
    m_readPaused = false;
    m_loadRequestedAhead = false;
    m_timeToFirstByte = {};
    send_options options;
    options.replicaId = to->record.id;
    m_replicaTimeLimit = std::max(milliseconds(1), timeLeft(now) - responseTransitTime);
    options.timeLeft = m_replicaTimeLimit;
    options.urgency = urgency();
    if (m_hasTenants) {
        options.tenant = m_tenant != nullptr ? std::string_view(m_tenant->name) : std::string_view();
    }
    options.lastEventId = m_eventSplitter.lastEventId();
    const auto [copyAt, copy] = std::exchange(m_copiedMemory, {});
    m_usesCopiedMemory = !copy.empty() && copyAt == to->record.id;
    options.memory = m_usesCopiedMemory ? std::string_view(copy) : std::string_view();
    std::string request;
    request.reserve(1'024 + m_requestBody.size());
    m_services.format.appendRequest(request, m_requestHead, m_requestBody, options);
    m_connection->send(request, *this, m_requestHead.method == "HEAD");
}

void exchange::retryElsewhere(std::string_view why)
{
    log::write(log::level::info, "request sent on",
               {{"request_id", m_requestMetadata.id},
                {"fingerprint", m_fingerprint},
                {"replica", m_replica->record.id},
                {"software_version", m_replica->record.softwareVersion},
                {"replica_started_at_ms", m_replicaStartedAtMs},
                {"why", why},
                {"runs", m_history.runs},
                {"rejections", m_history.rejections},
                {"time_given_ms", m_replicaTimeLimit.count()},
                {"silent_ms", inMilliseconds(m_services.clock.now() - m_lastProgressAt)},
                {"last_event", m_eventSplitter.lastEventId()}});
    m_services.metrics.count("medlarrack_gateway_retries_total", "Requests sent to another replica",
                             {.service = m_serviceName});
    releaseReplica();
    if (m_responseHeadSent) {
        m_holdDeadline = std::max(m_holdDeadline, std::min(m_deadline, m_lastProgressAt + callerIdleTimeout(*m_route)));
    }
    dispatch();
}

bool exchange::canGoOnElsewhere(core::monotonic_time now)
{
    if (!maySendAgain() || isContentRefused(now) || arePartsRefused(now)
        || m_services.crashDetector.mustWait(m_requestMetadata.sharedParts, now)) {
        return false;
    }
    const replica_choice other = chooseReplica(now, m_deadline);
    if (other.target != nullptr && other.needsLoad && !m_loadRequestedAhead) {
        m_loadRequestedAhead = m_services.agents.requestAdapter(other.target, m_requestMetadata.adapter);
    }
    return other.target != nullptr && !other.needsLoad;
}

bool exchange::returnToSilentReplica()
{
    const core::monotonic_time now = m_services.clock.now();
    const replica_ptr silent = m_services.replicas.find(std::exchange(m_silentReplica, {}));
    auto wayBack = std::move(m_wayBack);
    // The route limits the replicas, and this one has had the request.
    if (silent == nullptr || now >= m_deadline || !maySendAgain() || m_history.runs > m_route->maxAttempts
        || !acceptsRequests(*silent, now) || !silent->requestLimit.admits(now) || isContentRefused(now)
        || arePartsRefused(now) || m_services.crashDetector.mustWait(m_requestMetadata.sharedParts, now)
        || (m_origin != resumption::unknownOrigin && !mayResume(*silent, m_origin))) {
        return false;
    }
    const bool hasEngineLeft = silent->agent && (!silent->agent->engineUp || silent->awaitsRelisting(now));
    const bool isOutdated =
        !m_requestMetadata.adapter.empty() && !holdsAdapter(m_services.replicas, *silent, m_requestMetadata.adapter);
    if (hasEngineLeft || isOutdated) {
        return false;
    }
    wayBack.reset();
    m_services.retryBudgetFor(m_serviceName).recordRetry(now);
    releaseReplica();
    m_choiceReason = "it was silent, and no other replica answers";
    sendRequest(silent);
    return true;
}

bool exchange::payForSendOn(core::monotonic_time now)
{
    overload::retry_budget &budget = m_services.retryBudgetFor(m_serviceName);
    if (m_wayBack != nullptr) {
        return budget.tryRetry(now);
    }
    m_wayBack = budget.tryRetryAndReserve(now);
    return m_wayBack != nullptr;
}

void exchange::retryIfSilent(core::monotonic_time now)
{
    const auto patience = m_responseHeadSent ? eventGapTimeout(*m_route) : answerTimeout(*m_route);
    if (!mayAskToStop(now) || now - m_lastProgressAt < patience || m_readPaused || m_awaitsRoom || now >= m_deadline
        || m_connection->hasUnreadBytes() || !mayRetry(*m_route, attempt_outcome::unknown, m_history)
        || !canGoOnElsewhere(now) || !payForSendOn(now)) {
        return;
    }
    stopRun(now);
}

} // namespace medlarrack::gateway
