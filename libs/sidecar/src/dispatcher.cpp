#include "dispatcher_impl.hpp"
#include "outcomes.hpp"

#include <medlarrack/sidecar/dispatcher.hpp>

#include <utility>

namespace medlarrack::sidecar {
namespace {

/// Requests that arrive within this time after a pause are refused, as they may have been sent before it.
constexpr std::chrono::milliseconds refusalTimeAfterPause{500};

/// Whether every other target would refuse the request for the same reason.
bool isFinalRefusal(std::string_view code)
{
    return code == "body_too_large" || code == "deadline_exceeded" || code == "missing_idempotency_key";
}

} // namespace

dispatcher::impl::impl(dispatcher_options options, dispatcher_dependencies dependencies)
    : m_options(std::move(options))
    , m_dependencies(std::move(dependencies))
    , m_fences(m_dependencies.clock.wallNow())
    , m_pauseDetector(m_dependencies.clock, m_options.shortestPause)
    , m_scheduler(m_options.limits, m_dependencies.eviction, m_dependencies.budget, m_options.seed)
    , m_targetMonitor(m_options.pollInterval)
    , m_keys(m_options.keySettings, m_options.self, m_dependencies.clock.wallNow())
    , m_refuseUntil(m_dependencies.clock.now())
{
    // No orders are sent before the engine has reported which adapters it has loaded.
    m_scheduler.allowOrders(false);
}

void dispatcher::impl::submit(peer::run_request message, const std::shared_ptr<peer::reply_stream> &reply)
{
    request_ptr request;
    std::optional<core::reason> refused;
    {
        const std::scoped_lock lock(m_mutex);
        request = std::make_shared<detail::active_request>(++m_lastId, std::move(message), reply,
                                                           m_dependencies.clock.now(), m_dependencies.metrics);
    }
    process([&](core::monotonic_time now) {
        refused = reasonToRefuse(request->request, now);
        return refused ? effects{} : admit(request, now);
    });
    if (refused) {
        const bool tryElsewhere = !isFinalRefusal(refused->code);
        refuse({request, {request->id, std::move(*refused), {}, tryElsewhere}});
        return;
    }
    watchCaller(request->id, *reply);
    if (!request->request.idempotent) {
        submitKeyed(request);
    } else if (inProgress(request->id)) {
        sendAccepted(request);
    }
}

void dispatcher::impl::tick()
{
    process([this](core::monotonic_time now) {
        addKeyActions(m_keys.onTimer(m_dependencies.clock.wallNow()));
        if (m_drainStart && now - *m_drainStart >= m_options.drainGrace) {
            effects refused = m_scheduler.refuseQueued({"leaving", "the target is leaving"}, now);
            return refused;
        }
        return m_scheduler.tick(now);
    });
    pollTarget(/*urgent=*/false);
}

void dispatcher::impl::drain()
{
    const std::scoped_lock lock(m_mutex);
    if (!m_drainStart) {
        m_drainStart = m_dependencies.clock.now();
    }
}

bool dispatcher::impl::idle() const
{
    const std::scoped_lock lock(m_mutex);
    return m_requests.empty();
}

bool dispatcher::impl::ready() const
{
    const std::scoped_lock lock(m_mutex);
    return m_targetMonitor.up() && !m_drainStart && !m_fences.superseded();
}

dispatcher_state dispatcher::impl::state() const
{
    const std::scoped_lock lock(m_mutex);
    dispatcher_state result;
    result.queued = m_scheduler.queued();
    result.running = m_scheduler.running();
    result.concurrency = m_scheduler.concurrency();
    result.slots = m_options.isEngine ? m_scheduler.slots() : 0;
    result.adapters = m_scheduler.adapters();
    result.targetUp = m_targetMonitor.up();
    result.draining = m_drainStart.has_value();
    result.superseded = m_fences.superseded();
    result.pauses = m_pauseCount;
    result.targetStartedMs = m_targetMonitor.startedMs();
    result.keys = m_keys.size();
    return result;
}

void dispatcher::impl::update(const std::function<void()> &change)
{
    const std::scoped_lock lock(m_mutex);
    change();
}

void dispatcher::impl::setWeight(std::string_view operatorName, double weight)
{
    const std::scoped_lock lock(m_mutex);
    m_scheduler.setWeight(operatorName, weight);
}

void dispatcher::impl::setCapacity(std::size_t slots, std::size_t concurrency)
{
    const std::scoped_lock lock(m_mutex);
    if (m_targetMonitor.startedMs() != 0) {
        return;
    }
    if (m_options.adoptSlots) {
        m_scheduler.setSlots(slots);
    }
    if (m_options.adoptConcurrency) {
        m_scheduler.setConcurrency(concurrency);
    }
}

void dispatcher::impl::process(const event_handler &handler)
{
    deferred_work deferred;
    {
        const std::scoped_lock lock(m_mutex);
        const auto now = m_dependencies.clock.now();
        detectPause(now, deferred);
        collect(handler(now), now, deferred);
        // Read after the handler, which may have detected a restart of the engine.
        deferred.engineIncarnation = m_engineIncarnation;
        deferred.keyActions = std::exchange(m_keyActions, {});
    }
    execute(std::move(deferred));
}

void dispatcher::impl::detectPause(core::monotonic_time now, deferred_work &deferred)
{
    deferred.pauseCount = m_pauseDetector.look();
    if (deferred.pauseCount == m_pauseCount) {
        return;
    }
    m_pauseCount = deferred.pauseCount;
    m_refuseUntil = now + refusalTimeAfterPause;
    collect(m_scheduler.refuseQueued({"paused", "the sidecar was paused while the request was queued"}, now), now,
            deferred);
}

void dispatcher::impl::collect(effects decided, core::monotonic_time now, deferred_work &deferred)
{
    for (refusal &refused : decided.refusals) {
        const auto found = m_requests.find(refused.request);
        if (found != m_requests.end()) {
            const request_ptr request = found->second;
            remove(request);
            const bool provenNotRun = releaseKey(*request);
            deferred.refusals.push_back({request, std::move(refused), provenNotRun});
        }
    }
    for (const run_start &runStart : decided.starts) {
        const request_ptr &request = m_requests.at(runStart.request);
        request->phase = detail::request_phase::starting;
        request->started = now;
        request->startedWall = m_dependencies.clock.wallNow();
        deferred.starts.emplace_back(request, runStart);
    }
    for (adapter_cache::slot_order &order : decided.orders) {
        deferred.orders.push_back(std::move(order));
    }
}

void dispatcher::impl::execute(deferred_work deferred)
{
    for (const refused_request &refused : deferred.refusals) {
        refuse(refused);
    }
    for (const auto &[request, runStart] : deferred.starts) {
        start(request, runStart, deferred.pauseCount);
    }
    for (const adapter_cache::slot_order &order : deferred.orders) {
        sendOrder(order, deferred.pauseCount, deferred.engineIncarnation);
    }
    execute(std::move(deferred.keyActions));
}

std::optional<core::reason> dispatcher::impl::reasonToRefuse(const peer::run_request &request,
                                                             core::monotonic_time now) const
{
    const bool wantsEngine = request.kind == peer::work_kind::completion;
    if (wantsEngine != m_options.isEngine || (!wantsEngine && request.service != m_options.service)) {
        return core::reason{"wrong_target", "this sidecar's target doesn't serve such requests"};
    }
    if (request.body.size() > m_options.maxBodyBytes) {
        return core::reason{"body_too_large", "the request's body is larger than the target takes"};
    }
    if (!request.idempotent && request.idempotencyKey.empty()) {
        return core::reason{"missing_idempotency_key", "a request that may run only once needs a key"};
    }
    if (request.deadlineLeft <= std::chrono::milliseconds::zero()) {
        return core::reason{"deadline_exceeded", "the deadline had passed when the request arrived"};
    }
    if (m_drainStart) {
        return core::reason{"leaving", "the target is leaving"};
    }
    if (m_fences.superseded()) {
        return core::reason{"superseded", "another sidecar has taken over the target"};
    }
    if (now < m_refuseUntil) {
        return core::reason{"paused", "the sidecar has just been paused"};
    }
    if (!m_targetMonitor.up()) {
        return core::reason{"target_unreachable", "the target doesn't answer"};
    }
    if (m_byRequestId.contains(request.requestId)) {
        return core::reason{"duplicate_attempt", "an earlier attempt of the request is still in progress here"};
    }
    return std::nullopt;
}

effects dispatcher::impl::admit(const request_ptr &request, core::monotonic_time now)
{
    const peer::run_request &message = request->request;
    overload::queue_item item;
    item.id = request->id;
    item.priority = message.priority;
    item.operatorName = message.operatorName;
    item.adapter = message.adapter;
    item.enqueued = now;
    item.deadline = request->deadline;
    item.bytes = message.body.size();
    m_requests.emplace(request->id, request);
    m_byRequestId.emplace(message.requestId, request->id);
    return m_scheduler.submit(std::move(item), now);
}

void dispatcher::impl::watchCaller(std::uint64_t id, peer::reply_stream &reply)
{
    reply.onClosed([weak = weak_from_this(), id] {
        if (const auto self = weak.lock()) {
            self->onCallerClosed(id);
        }
    });
}

void dispatcher::impl::sendAccepted(const request_ptr &request)
{
    m_dependencies.journal.addEvent(request->request.requestId, "accepted", request->request.adapter.toString());
    request->relay.accepted(m_options.self);
    process([&](core::monotonic_time now) {
        return m_scheduler.markAccepted(request->id, now);
    });
}

void dispatcher::impl::refuse(const refused_request &refused)
{
    m_dependencies.journal.addEvent(refused.request->request.requestId, "refused", refused.details.why.code);
    auto message = detail::notRun(refused.details);
    if (refused.request->keyRegistered) {
        // The other replicas have sealed the key, so that only this one may run it.
        message.tryElsewhere = false;
    }
    if (!refused.provenNotRun) {
        message.outcome = core::outcome::unknown;
    }
    message.newestTicket = m_dependencies.newestTicket();
    refused.request->relay.refuse(std::move(message));
}

void dispatcher::impl::onCallerClosed(std::uint64_t id)
{
    bool cancelNow = false;
    process([&](core::monotonic_time now) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end()) {
            return effects{};
        }
        const request_ptr request = found->second;
        request->callerDisconnected = true;
        m_dependencies.journal.addEvent(request->request.requestId, "caller_gone", "");
        if (m_scheduler.cancelQueued(id, now)) {
            remove(request);
            (void)releaseKey(*request);
            return m_scheduler.tick(now);
        }
        // A request that may run only once is not cancelled: its key's outcome would become unknown.
        if (request->request.idempotent) {
            request->cancelRequested = true;
            cancelNow = request->phase == detail::request_phase::running;
        }
        return effects{};
    });
    if (cancelNow) {
        m_dependencies.driver.cancel(id);
    }
}

bool dispatcher::impl::inProgress(std::uint64_t id) const
{
    const std::scoped_lock lock(m_mutex);
    return m_requests.contains(id);
}

void dispatcher::impl::remove(const request_ptr &request)
{
    m_requests.erase(request->id);
    m_byRequestId.erase(request->request.requestId);
}

dispatcher::dispatcher(dispatcher_options options, dispatcher_dependencies dependencies)
    : m_impl(std::make_shared<impl>(std::move(options), std::move(dependencies)))
{
}

dispatcher::~dispatcher() = default;

void dispatcher::submit(peer::run_request request, const std::shared_ptr<peer::reply_stream> &reply)
{
    m_impl->submit(std::move(request), reply);
}

void dispatcher::tick()
{
    m_impl->tick();
}

void dispatcher::drain()
{
    m_impl->drain();
}

bool dispatcher::idle() const
{
    return m_impl->idle();
}

bool dispatcher::ready() const
{
    return m_impl->ready();
}

dispatcher_state dispatcher::state() const
{
    return m_impl->state();
}

void dispatcher::onInstanceList(core::wall_time asOf, std::span<const std::string> members)
{
    m_impl->onInstanceList(asOf, members);
}

peer::seal_reply dispatcher::onSealRequest(const peer::seal_request &request)
{
    return m_impl->onSealRequest(request);
}

void dispatcher::onSealReply(const std::string &memberId, const std::string &key,
                             const std::optional<peer::seal_reply> &reply)
{
    m_impl->onSealReply(memberId, key, reply);
}

void dispatcher::update(const std::function<void()> &change)
{
    m_impl->update(change);
}

void dispatcher::setWeight(std::string_view operatorName, double weight)
{
    m_impl->setWeight(operatorName, weight);
}

void dispatcher::setCapacity(std::size_t slots, std::size_t concurrency)
{
    m_impl->setCapacity(slots, concurrency);
}

} // namespace medlarrack::sidecar
