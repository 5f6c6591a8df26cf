#include "exchange.hpp"

#include "milliseconds.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/log/log.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace medlarrack::gateway {

namespace {

using std::chrono::milliseconds;

/// Deadline of callers that don't say one.
constexpr milliseconds defaultTimeLeft{60'000};
/// A process that starts reads the published state within this, also over 10 Mbit/s; without an answer of the store for
/// longer than that the state isn't expected soon.
constexpr milliseconds stateTime{1'200};
/// Pace at which held requests are looked at again: small beside the second that engines take to come back.
constexpr milliseconds heldPace{50};
/// Engines at which an adapter is waited for: the next one only if the one before is lost.
constexpr std::uint32_t maxLoadWaits = 3;
/// A replica gives its own answer at its deadline; it is waited for this much longer.
constexpr milliseconds deadlineGrace{200};
/// Time kept back from a replica's deadline for the way of its answer.
constexpr milliseconds wayBack{5};
/// Idle time up to which a kept connection carries a request that may not run again: one that closes meanwhile gives no
/// proof either way.
constexpr milliseconds idleForOnce{400};
constexpr milliseconds idleForAny{60'000};
/// Unread bytes of a caller at which its replica is slowed down.
constexpr std::size_t relayBuffer = 262'144;

void appendChunk(std::string &out, std::string_view bytes)
{
    std::array<char, 20> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    out.append(size.data(), static_cast<std::size_t>(length));
    out += bytes;
    out += "\r\n";
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

std::uint64_t fingerprintOf(const http1::message_head &head, std::string_view body)
{
    return core::hash64({head.method, head.value("Host"), head.target, body});
}

} // namespace

exchange::exchange(exchange_services &services, caller_channel &caller, http1::message_head head, std::string body)
    : m_services(services)
    , m_caller(&caller)
    , m_request(std::move(head))
    , m_requestBody(std::move(body))
    , m_facts(services.format.readRequest(m_request))
    , m_fingerprint(fingerprintOf(m_request, m_requestBody))
    , m_startedAt(services.clock.now())
{
}

exchange::~exchange()
{
    dropConnection();
    release();
}

void exchange::start()
{
    proceed();
}

void exchange::proceed()
{
    if (m_route == nullptr) {
        if (!findRoute()) {
            return;
        }
        routeFound();
    }
    next();
}

bool exchange::findRoute()
{
    if (m_services.routes.isEmpty()) {
        const milliseconds longest = holdingTime(m_facts.timeLeft.value_or(defaultTimeLeft), {}, false);
        if (m_services.storeAge() < stateTime && m_services.clock.now() - m_startedAt < longest) {
            hold("no published state is known yet");
        } else {
            refuse(refusal_cause::starting, "no_state", "no published state is known yet");
        }
        return false;
    }
    m_route = m_services.routes.find(m_request.value("Host"), m_request.target);
    if (m_route == nullptr) {
        constexpr int notFound = 404;
        answerOwn(notFound, "no_route", "no route has this host and path");
        return false;
    }
    return true;
}

void exchange::routeFound()
{
    const milliseconds callerWaits = m_facts.timeLeft.value_or(defaultTimeLeft);
    const auto wanted = std::min(callerWaits, m_route->timeout);
    m_deadline = m_startedAt + wanted;
    m_service = serviceFor(*m_route, core::hash64(m_facts.id));
    m_services.budgetOf(m_service).onFirstAttempt(m_startedAt);
    if (!m_facts.adapter.empty()) {
        m_demand = m_services.demand.asked(m_facts.adapter, m_startedAt);
    }
    m_returning = m_services.returning.came(m_route->name, callerWaits);
    m_waitEnd = m_startedAt + holdingTime(wanted, callerPatience(*m_route), m_returning);
}

void exchange::hold(std::string_view why)
{
    m_lookAgainAt = m_services.clock.now() + heldPace;
    if (!std::exchange(m_holdLogged, true)) {
        log::write(log::level::info, "request held",
                   {{"request_id", m_facts.id},
                    {"why", why},
                    {"state_version", m_services.routes.version()},
                    {"store_age_ms", inMilliseconds(m_services.storeAge())}});
    }
}

void exchange::next()
{
    const core::monotonic_time now = m_services.clock.now();
    if (now >= m_deadline) {
        if (m_history.runs > 0) {
            constexpr int gatewayTimeout = 504;
            answerOwn(gatewayTimeout, "timeout", "the time for the request is over");
        } else {
            refuse(refusal_cause::rejected, "timeout", "the time for the request is over");
        }
        return;
    }
    if (refuseCrashing()) {
        return;
    }
    const catalog::service *service = m_services.routes.findService(m_service);
    const bool hasEngine = service != nullptr && service->engine && !m_facts.model.empty();
    choice_query asked;
    asked.service = m_service;
    asked.model = m_facts.model;
    asked.adapter = m_facts.adapter;
    asked.batchSize = hasEngine ? service->engine->batchSize : 1;
    asked.tried = m_tried;
    asked.demand = m_demand;
    asked.mayRunAgain = mayTryAgain(*m_route, attempt_end::unknown, {m_history.runs + 1, m_history.rejections});
    const replica_choice choice =
        hasEngine ? chooseEngine(m_services.replicas, asked, now) : choosePlain(m_services.replicas, asked, now);
    m_choiceWhy = choice.why;
    if (choice.target == nullptr) {
        if (m_history.runs > 0) {
            constexpr int badGateway = 502;
            answerOwn(badGateway, "no_replica", "the request may have run and no other replica is left");
        } else if ((choice.expected || (choice.crowded && m_returning)) && now < m_waitEnd) {
            hold(choice.why);
        } else {
            refuse(choice.crowded ? refusal_cause::adapter_backlog : refusal_cause::no_replica, "no_replica",
                   choice.why);
        }
        return;
    }
    if (choice.alsoLoadAt != nullptr) {
        m_services.agents.want(choice.alsoLoadAt, m_facts.adapter);
    }
    if (choice.needsLoad) {
        waitForAdapter(choice);
    } else {
        send(choice.target);
    }
}

void exchange::waitForAdapter(const replica_choice &choice)
{
    const core::monotonic_time now = m_services.clock.now();
    if (m_loadWaits >= maxLoadWaits || now >= m_waitEnd) {
        refuse(refusal_cause::adapter_backlog, "adapter_not_loaded", "the adapter was not loaded in time");
        return;
    }
    ++m_loadWaits;
    if (!m_services.agents.want(choice.target, m_facts.adapter)) {
        // Nobody can load it there; another engine may do.
        m_tried.push_back(choice.target->record.id);
        const auto self = shared_from_this();
        next();
        return;
    }
    assign(choice.target);
    m_waiting = true;
    log::write(log::level::info, "request waits for its adapter",
               {{"request_id", m_facts.id},
                {"replica", m_targetId},
                {"adapter", m_facts.adapter},
                {"why", choice.why},
                {"wanted_there", choice.target->agent ? choice.target->agent->wanted : 0},
                {"status_age_ms", inMilliseconds(m_statusAge)},
                {"waits_until_ms", inMilliseconds(m_waitEnd - m_startedAt)}});
    m_services.waiters.add(*choice.target, m_facts.adapter, weak_from_this());
}

void exchange::adapterLoaded()
{
    if (!m_waiting || m_done) {
        return;
    }
    m_waiting = false;
    const replica_ptr target = m_target;
    release();
    if (!refuseCrashing()) {
        send(target);
    }
}

void exchange::engineLost()
{
    if (!m_waiting || m_done) {
        return;
    }
    m_waiting = false;
    m_tried.push_back(m_target->record.id);
    release();
    next();
}

void exchange::send(const replica_ptr &to)
{
    const core::monotonic_time now = m_services.clock.now();
    assign(to);
    m_unread = m_facts.promptTokens;
    to->unread += m_unread;
    ++m_history.runs;
    m_tried.push_back(to->record.id);
    m_connection = m_services.connections.take(*to, catalog::mayRunAgain(*m_route) ? idleForAny : idleForOnce);
    m_sentAt = now;
    m_targetStart = to->agent ? to->agent->startedAtMs : to->record.startedAtMs;
    m_lastBytesAt = now;
    if (std::exchange(m_isProbe, false)) {
        m_services.crashes.recordProbe(m_fingerprint, {m_targetId, m_targetStart}, now);
        log::write(log::level::info, "refused request probed",
                   {{"request_id", m_facts.id}, {"fingerprint", m_fingerprint}, {"replica", m_targetId}});
    }
    m_answerBody.clear();
    m_unfinishedEvent = 0;
    m_firstByte = {};
    send_options options;
    options.replicaId = to->record.id;
    m_timeGiven = std::max(milliseconds(1), timeLeft(now) - wayBack);
    options.timeLeft = m_timeGiven;
    options.urgency = m_route->priority;
    options.lastEventId = m_cutter.lastId();
    std::string request;
    request.reserve(1'024 + m_requestBody.size());
    m_services.format.appendRequest(request, m_request, m_requestBody, options);
    m_connection->send(request, *this, m_request.method == "HEAD");
}

http1::head_verdict exchange::onHead(const http1::message_head &head)
{
    answer_facts facts = m_services.format.readAnswer(head);
    if (!facts.id.empty() && facts.id != m_facts.id) {
        log::write(log::level::info, "answer to another request dropped",
                   {{"request_id", m_facts.id}, {"answer_to", facts.id}, {"replica", m_target->record.id}});
        return http1::head_verdict::skip;
    }
    const core::monotonic_time now = m_services.clock.now();
    heed(facts);
    // An answer that another replica may have given says nothing of this one.
    if (!facts.misdirected) {
        m_services.crashes.recordTargetAnswer({m_targetId, m_targetStart}, m_sentAt, now);
    }
    m_firstByte = now - m_sentAt;
    m_lastBytesAt = now;
    if (facts.load) {
        m_target->tellLoad(facts.load->running + facts.load->waiting, now);
    }
    m_answerFacts = std::move(facts);
    if (!m_headSent) {
        m_answer = head;
    } else {
        m_answer.status = head.status;
    }
    return http1::head_verdict::take;
}

void exchange::onBody(std::string &body)
{
    m_lastBytesAt = m_services.clock.now();
    if (m_answerFacts.notRun) {
        body.clear();
        return;
    }
    const bool trusted = m_answerFacts.isSigned && !m_answerFacts.isEncoded;
    if (trusted && m_answerFacts.isEventStream && isSuccess(m_answer.status)) {
        relayEvents(body);
        return;
    }
    m_answerBody += body;
    body.clear();
}

void exchange::relayEvents(std::string &body)
{
    const std::string events = m_cutter.take(body);
    m_unfinishedEvent = body.size();
    if (events.empty()) {
        return;
    }
    std::string out;
    promptRead();
    if (!m_headSent) {
        m_headSent = true;
        m_target->succeeded(m_lastBytesAt - m_sentAt);
        const body_framing framing = m_caller->takesChunks() ? body_framing::chunked : body_framing::none;
        m_services.format.appendAnswerHead(out, m_answer, framing, 0, m_caller->closesAfterAnswer());
    }
    if (m_caller->takesChunks()) {
        appendChunk(out, events);
    } else {
        out += events;
    }
    m_caller->write(out);
    if (m_caller->queued() > relayBuffer && !m_paused) {
        m_paused = true;
        m_connection->pause();
    }
}

void exchange::callerDrained()
{
    if (m_paused && m_connection != nullptr) {
        m_paused = false;
        m_connection->resume();
    }
}

void exchange::onComplete()
{
    const auto self = shared_from_this();
    connection_ptr connection = std::exchange(m_connection, nullptr);
    m_services.connections.give(*m_target, std::move(connection));
    if (m_answerFacts.notRun) {
        rejected();
        return;
    }
    const bool success = isSuccess(m_answer.status);
    if (success && (!m_answerFacts.isSigned || m_answerFacts.isEncoded)) {
        attemptFailed(attempt_end::unknown, "the answer lacks a replica's signature");
        return;
    }
    if (m_headSent || (success && m_answerFacts.isEventStream)) {
        completeStream();
        return;
    }
    if (success) {
        m_target->succeeded(m_services.clock.now() - m_sentAt);
        deliver();
        return;
    }
    constexpr int firstServerError = 500;
    if (m_answer.status >= firstServerError) {
        m_target->failed(false, m_services.clock.now());
        if (mayTryAgain(*m_route, attempt_end::unknown, m_history)
            && m_services.budgetOf(m_service).tryRetry(m_services.clock.now())) {
            const int status = m_answer.status;
            m_heldFailure.emplace(std::move(m_answer), std::move(m_answerBody));
            tryAgain("the replica answered " + std::to_string(status));
            return;
        }
    }
    deliver();
}

void exchange::completeStream()
{
    if (m_unfinishedEvent > 0 || !m_headSent || !isSuccess(m_answer.status)) {
        attemptFailed(attempt_end::unknown, "the stream ended without its last event");
        return;
    }
    if (m_caller->takesChunks()) {
        m_caller->write("0\r\n\r\n");
    }
    m_services.crashes.recordAnswer(m_fingerprint, m_services.clock.now());
    finish("ran", m_answer.status, m_choiceWhy);
}

/// The replica states that it did not run the request.
void exchange::rejected()
{
    --m_history.runs;
    ++m_history.rejections;
    const core::monotonic_time now = m_services.clock.now();
    if (m_answerFacts.misdirected && !m_facts.adapter.empty() && m_target->agent) {
        // The adapter has left since the last status; the agent will be asked again.
        m_target->agent->adapters.erase(m_facts.adapter);
        m_tried.pop_back();
    } else if (m_answerFacts.misdirected) {
        // Without an agent, the instance list may have named an adapter that has left.
        const bool adapterLeft = m_target->record.adapters.erase(m_facts.adapter) > 0;
        if (!adapterLeft) {
            m_target->failed(true, now);
            m_services.listIsOld();
        }
    } else if (!m_answerFacts.load && !m_target->agent) {
        m_target->turnedAway(now);
    }
    if (mayTryAgain(*m_route, attempt_end::not_run, m_history) && m_services.budgetOf(m_service).tryRetry(now)) {
        tryAgain("the replica did not run it");
        return;
    }
    release();
    refuse(refusal_cause::rejected, "rejected", "the replicas did not run the request");
}

void exchange::onFailed(http1::call_progress progress, std::string_view why)
{
    const auto self = shared_from_this();
    m_connection = nullptr;
    const bool notSent = progress == http1::call_progress::not_sent;
    if (notSent) {
        m_services.crashes.recordTargetEnd(m_targetId, m_services.clock.now());
        --m_history.runs;
        ++m_history.rejections;
    }
    attemptFailed(notSent ? attempt_end::not_run : attempt_end::unknown, why);
}

void exchange::attemptFailed(attempt_end end, std::string_view why)
{
    m_target->failed(end == attempt_end::not_run, m_services.clock.now());
    if (end == attempt_end::unknown) {
        runLost(why, true);
    }
    if (mayTryAgain(*m_route, end, m_history) && m_services.budgetOf(m_service).tryRetry(m_services.clock.now())) {
        tryAgain(why);
        return;
    }
    release();
    if (end == attempt_end::not_run && m_history.runs == 0) {
        refuse(refusal_cause::rejected, "not_reached", why);
    } else {
        constexpr int badGateway = 502;
        answerOwn(badGateway, "attempt_failed", why);
    }
}

void exchange::tryAgain(std::string_view why)
{
    log::write(log::level::info, "request sent on",
               {{"request_id", m_facts.id},
                {"fingerprint", m_fingerprint},
                {"replica", m_target->record.id},
                {"why", why},
                {"runs", m_history.runs},
                {"rejections", m_history.rejections},
                {"time_given_ms", m_timeGiven.count()},
                {"last_event", m_cutter.lastId()}});
    m_services.metrics.count("medlarrack_gateway_retries_total", "Requests sent to another replica",
                             {.service = m_service});
    release();
    next();
}

void exchange::callerGone()
{
    m_caller = nullptr;
    if (!m_done) {
        if (m_connection != nullptr) {
            m_services.crashes.recordLostRun(lostRun(false), m_services.clock.now());
        }
        finish("caller_gone", 0, m_connection == nullptr ? "while it waited" : "while it ran");
    }
}

void exchange::tick(core::monotonic_time now)
{
    if (m_done) {
        return;
    }
    const auto self = shared_from_this();
    if (m_waiting) {
        if (now >= m_waitEnd) {
            m_waiting = false;
            release();
            refuse(refusal_cause::adapter_backlog, "adapter_not_loaded", "the adapter was not loaded in time");
        }
        return;
    }
    if (m_lookAgainAt) {
        if (now >= *m_lookAgainAt) {
            m_lookAgainAt.reset();
            proceed();
        }
        return;
    }
    if (m_connection == nullptr) {
        return;
    }
    if (now >= m_deadline + deadlineGrace) {
        runLost("no whole answer by the deadline", false);
        dropConnection();
        release();
        constexpr int gatewayTimeout = 504;
        answerOwn(gatewayTimeout, "timeout", "the replica gave no whole answer in the time for the request");
        return;
    }
    const auto patience = m_headSent ? gapPatience(*m_route) : answerPatience(*m_route);
    if (now - m_lastBytesAt >= patience && !m_paused && now < m_deadline
        && mayTryAgain(*m_route, attempt_end::unknown, m_history) && m_services.budgetOf(m_service).tryRetry(now)) {
        constexpr std::string_view silent = "no answer for longer than is usual";
        m_target->failed(false, now);
        runLost(silent, false);
        dropConnection();
        tryAgain(silent);
    }
}

void exchange::dropConnection()
{
    if (m_connection != nullptr) {
        m_connection->cancel();
        m_connection = nullptr;
    }
}

void exchange::assign(const replica_ptr &to)
{
    m_target = to;
    m_targetId = to->record.id;
    m_statusAge = to->agent ? m_services.clock.now() - to->agent->at : std::chrono::nanoseconds(0);
    ++to->outstanding;
    if (!m_facts.adapter.empty()) {
        ++to->byAdapter[m_facts.adapter];
    }
}

void exchange::promptRead()
{
    m_target->unread -= std::exchange(m_unread, 0);
}

void exchange::release()
{
    if (m_target == nullptr) {
        return;
    }
    promptRead();
    --m_target->outstanding;
    if (const auto found = m_target->byAdapter.find(m_facts.adapter); found != m_target->byAdapter.end()) {
        if (--found->second == 0) {
            m_target->byAdapter.erase(found);
        }
    }
    m_target = nullptr;
}

void exchange::finish(std::string_view outcome, int status, std::string_view why)
{
    m_done = true;
    dropConnection();
    const core::monotonic_time now = m_services.clock.now();
    log::write(log::level::info, "request ended",
               {{"request_id", m_facts.id},
                {"fingerprint", m_fingerprint},
                {"route", m_route != nullptr ? std::string_view(m_route->name) : std::string_view()},
                {"adapter", m_facts.adapter},
                {"replica", m_targetId},
                {"status_age_ms", inMilliseconds(m_statusAge)},
                {"outcome", outcome},
                {"status", status},
                {"why", why},
                {"runs", m_history.runs},
                {"rejections", m_history.rejections},
                {"load_waits", m_loadWaits},
                {"waited_ms", m_sentAt > m_startedAt ? inMilliseconds(m_sentAt - m_startedAt) : 0},
                {"first_byte_ms", inMilliseconds(m_firstByte)},
                {"ms", inMilliseconds(now - m_startedAt)},
                {"state_version", m_services.routes.version()},
                {"store_age_ms", inMilliseconds(m_services.storeAge())}});
    m_services.metrics.observeSeconds("medlarrack_gateway_request_seconds", "Time from request to end of answer",
                                      {.code = std::string(outcome)},
                                      std::chrono::duration<double>(now - m_startedAt).count());
    release();
    if (m_caller != nullptr) {
        std::exchange(m_caller, nullptr)->answered();
    }
}

std::chrono::milliseconds exchange::timeLeft(core::monotonic_time now) const
{
    return std::chrono::duration_cast<milliseconds>(m_deadline - now);
}

} // namespace medlarrack::gateway
