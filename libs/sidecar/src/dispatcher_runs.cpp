#include "dispatcher_impl.hpp"
#include "outcomes.hpp"

#include <algorithm>
#include <utility>

namespace medlarrack::sidecar {

void dispatcher::impl::start(const request_ptr &request, const run_start &runStart, std::uint64_t pauseCount)
{
    if (m_pauseDetector.look() != pauseCount) {
        cancelStart(request);
        return;
    }
    request->relay.starting(runStart);
    m_dependencies.journal.addEvent(request->request.requestId, "started", m_options.self.id);
    m_dependencies.driver.run(request->id, makeCall(*request), makeCallbacks(request));
    bool cancelNow = false;
    {
        const std::scoped_lock lock(m_mutex);
        request->phase = detail::request_phase::running;
        cancelNow = request->cancelRequested;
    }
    if (cancelNow) {
        m_dependencies.driver.cancel(request->id);
    }
}

void dispatcher::impl::cancelStart(const request_ptr &request)
{
    bool provenNotRun = true;
    process([&](core::monotonic_time now) {
        remove(request);
        provenNotRun = releaseKey(*request);
        return m_scheduler.runNotStarted(request->id, now);
    });
    const core::reason why{"paused", "the sidecar was paused before the request started"};
    refuse({request, {request->id, why, {}, true}, provenNotRun});
}

engine::target_call dispatcher::impl::makeCall(detail::active_request &request) const
{
    peer::run_request &message = request.request;
    const auto timeLeft = std::chrono::ceil<std::chrono::milliseconds>(request.deadline - m_dependencies.clock.now());
    engine::target_call call;
    call.requestId = message.requestId;
    call.method = message.kind == peer::work_kind::completion ? "POST" : message.method;
    call.path = message.path;
    call.headers = std::move(message.headers);
    call.body = std::move(message.body);
    if (m_options.isEngine) {
        call.model = message.adapter.adapter.empty() ? message.baseModel : message.adapter.toString();
    }
    call.priority = message.priority;
    call.stream = message.stream;
    call.idempotent = message.idempotent;
    call.idempotencyKey = message.idempotencyKey;
    // An answer that has begun may finish after the deadline. If none has begun by then, the entry resets the stream.
    call.timeout = std::max(timeLeft, std::chrono::milliseconds(1)) + m_options.maxRunPastDeadline;
    return call;
}

engine::call_callbacks dispatcher::impl::makeCallbacks(const request_ptr &request)
{
    const auto self = shared_from_this();
    engine::call_callbacks callbacks;
    callbacks.onHead = [request](int status, const auto &headers) {
        request->answer.status = status;
        request->answer.headers = headers;
        request->relay.head(status, headers);
    };
    callbacks.onData = [self, request](std::string_view piece) {
        self->onData(request, piece);
    };
    callbacks.onEnd = [self, request](const engine::call_result &result) {
        self->onEnd(request, result);
    };
    return callbacks;
}

void dispatcher::impl::onData(const request_ptr &request, std::string_view piece)
{
    recordAnswer(*request, piece);
    request->relay.data(piece, m_dependencies.clock.now());
    if (request->relay.bufferedBytes() > m_options.maxBufferedBytes) {
        abortRun(request, {"slow_reader", "the caller takes the answer too slowly"});
    }
}

void dispatcher::impl::abortRun(const request_ptr &request, core::reason why)
{
    bool cancelNow = false;
    {
        const std::scoped_lock lock(m_mutex);
        if (request->cancelRequested) {
            return;
        }
        request->cancelRequested = true;
        request->abortReason = std::move(why);
        cancelNow = request->phase == detail::request_phase::running;
    }
    if (cancelNow) {
        m_dependencies.driver.cancel(request->id);
    }
}

void dispatcher::impl::onEnd(const request_ptr &request, const engine::call_result &result)
{
    if (!detail::mayIndicateCrash(result)) {
        finishRun(request, result);
        return;
    }
    {
        const std::scoped_lock lock(m_mutex);
        m_unresolvedRuns.push_back({request, result, m_dependencies.clock.now()});
    }
    pollTarget(/*urgent=*/true);
}

void dispatcher::impl::finishRun(const request_ptr &request, const engine::call_result &result)
{
    bool callerDisconnected = false;
    peer::run_refused refused;
    process([&](core::monotonic_time now) {
        remove(request);
        completeKey(*request, result);
        callerDisconnected = request->callerDisconnected;
        if (result.end != engine::call_end::complete) {
            refused = detail::failedRun(*request, result);
        }
        if (result.end == engine::call_end::declined && result.why.code == "unknown_model") {
            m_scheduler.markNotLoaded(request->request.adapter);
        }
        const bool ran = result.end != engine::call_end::not_sent && result.end != engine::call_end::declined;
        return ran ? m_scheduler.runEnded(request->id, now - request->started, now)
                   : m_scheduler.runNotStarted(request->id, now);
    });
    const bool complete = result.end == engine::call_end::complete;
    m_dependencies.journal.addEvent(request->request.requestId, complete ? "ran" : "ended", refused.code);
    if (callerDisconnected) {
        return;
    }
    if (complete) {
        request->relay.end();
        return;
    }
    // The other replicas have sealed the key, so that only this one may run it.
    refused.tryElsewhere = refused.tryElsewhere && !request->keyRegistered;
    refused.newestTicket = m_dependencies.newestTicket();
    request->relay.refuse(std::move(refused));
}

} // namespace medlarrack::sidecar
