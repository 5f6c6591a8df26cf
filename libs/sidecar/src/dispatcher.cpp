#include "dispatcher_impl.hpp"
#include "outcomes.hpp"

#include <medlarrack/sidecar/dispatcher.hpp>

#include <utility>

namespace medlarrack::sidecar {
namespace {

/// After a pause, requests are refused for this long: they may have been sent before it.
constexpr std::chrono::milliseconds quietAfterPause{500};

/// Whether a refusal would be the same at every other target.
bool isOwnFault(std::string_view code)
{
    return code == "body_too_large" || code == "deadline_exceeded" || code == "missing_idempotency_key";
}

} // namespace

dispatcher::impl::impl(dispatcher_options options, dispatcher_parts parts)
    : m_options(std::move(options))
    , m_parts(std::move(parts))
    , m_fences(m_parts.clock.wallNow())
    , m_pauses(m_parts.clock, m_options.shortestPause)
    , m_scheduler(m_options.limits, m_parts.eviction, m_parts.budget, m_options.seed)
    , m_watch(m_options.pollInterval)
    , m_keys(m_options.once, m_options.self, m_parts.clock.wallNow())
    , m_quietUntil(m_parts.clock.now())
{
    // Nothing is ordered before the engine has told what it holds.
    m_scheduler.allowOrders(false);
}

void dispatcher::impl::submit(peer::run_request message, const std::shared_ptr<peer::reply_stream> &reply)
{
    request_ptr request;
    std::optional<core::reason> refused;
    {
        const std::scoped_lock lock(m_mutex);
        request = std::make_shared<detail::active_request>(++m_lastId, std::move(message), reply, m_parts.clock.now(),
                                                           m_parts.metrics);
    }
    process([&](core::monotonic_time now) {
        refused = reasonToRefuse(request->request, now);
        return refused ? effects{} : admit(request, now);
    });
    if (refused) {
        const bool elsewhere = !isOwnFault(refused->code);
        refuse({request, {request->id, std::move(*refused), {}, elsewhere}});
        return;
    }
    watchCaller(request->id, *reply);
    if (!request->request.idempotent) {
        submitKeyed(request);
    } else if (inProgress(request->id)) {
        announce(request);
    }
}

void dispatcher::impl::tick()
{
    process([this](core::monotonic_time now) {
        addKeyActions(m_keys.onTimer(m_parts.clock.wallNow()));
        if (m_draining && now - *m_draining >= m_options.drainGrace) {
            effects handedBack = m_scheduler.refuseQueued({"leaving", "the target is leaving"}, now);
            return handedBack;
        }
        return m_scheduler.tick(now);
    });
    pollTarget(/*urgent=*/false);
}

void dispatcher::impl::drain()
{
    const std::scoped_lock lock(m_mutex);
    if (!m_draining) {
        m_draining = m_parts.clock.now();
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
    return m_watch.up() && !m_draining && !m_fences.superseded();
}

dispatcher_state dispatcher::impl::state() const
{
    const std::scoped_lock lock(m_mutex);
    dispatcher_state seen;
    seen.queued = m_scheduler.queued();
    seen.running = m_scheduler.running();
    seen.concurrency = m_scheduler.concurrency();
    seen.slots = m_options.isEngine ? m_scheduler.slots() : 0;
    seen.adapters = m_scheduler.adapters();
    seen.targetUp = m_watch.up();
    seen.draining = m_draining.has_value();
    seen.superseded = m_fences.superseded();
    seen.pauses = m_pausesSeen;
    seen.targetStartedMs = m_watch.startedMs();
    seen.keys = m_keys.size();
    return seen;
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

void dispatcher::impl::setSizes(std::size_t slots, std::size_t concurrency)
{
    const std::scoped_lock lock(m_mutex);
    if (m_watch.startedMs() != 0) {
        return;
    }
    if (m_options.adoptSlots) {
        m_scheduler.setSlots(slots);
    }
    if (m_options.adoptConcurrency) {
        m_scheduler.setConcurrency(concurrency);
    }
}

void dispatcher::impl::process(const decision &decide)
{
    work todo;
    {
        const std::scoped_lock lock(m_mutex);
        const auto now = m_parts.clock.now();
        noticePause(now, todo);
        collect(decide(now), now, todo);
        // After the decision, which may have noticed a restart.
        todo.engineRun = m_engineRun;
        todo.keyActions = std::exchange(m_keyActions, {});
    }
    execute(std::move(todo));
}

void dispatcher::impl::noticePause(core::monotonic_time now, work &todo)
{
    todo.pauses = m_pauses.look();
    if (todo.pauses == m_pausesSeen) {
        return;
    }
    m_pausesSeen = todo.pauses;
    m_quietUntil = now + quietAfterPause;
    collect(m_scheduler.refuseQueued({"paused", "the sidecar was paused while the request was queued"}, now), now,
            todo);
}

void dispatcher::impl::collect(effects decided, core::monotonic_time now, work &todo)
{
    for (refusal &refused : decided.refusals) {
        const auto found = m_requests.find(refused.request);
        if (found != m_requests.end()) {
            const request_ptr request = found->second;
            remove(request);
            const bool provenNotRun = dropKey(*request);
            todo.refusals.push_back({request, std::move(refused), provenNotRun});
        }
    }
    for (const run_start &waits : decided.starts) {
        const request_ptr &request = m_requests.at(waits.request);
        request->phase = detail::request_phase::starting;
        request->started = now;
        request->startedWall = m_parts.clock.wallNow();
        todo.starts.emplace_back(request, waits);
    }
    for (adapter_cache::slot_order &order : decided.orders) {
        todo.orders.push_back(std::move(order));
    }
}

void dispatcher::impl::execute(work todo)
{
    for (const refused_request &refused : todo.refusals) {
        refuse(refused);
    }
    for (const auto &[request, waits] : todo.starts) {
        start(request, waits, todo.pauses);
    }
    for (const adapter_cache::slot_order &order : todo.orders) {
        give(order, todo.pauses, todo.engineRun);
    }
    execute(std::move(todo.keyActions));
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
    if (m_draining) {
        return core::reason{"leaving", "the target is leaving"};
    }
    if (m_fences.superseded()) {
        return core::reason{"superseded", "another sidecar has taken over the target"};
    }
    if (now < m_quietUntil) {
        return core::reason{"paused", "the sidecar has just been paused"};
    }
    if (!m_watch.up()) {
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
            self->callerClosed(id);
        }
    });
}

void dispatcher::impl::announce(const request_ptr &request)
{
    m_parts.journal.note(request->request.requestId, "accepted", request->request.adapter.toString());
    request->relay.accepted(m_options.self);
    process([&](core::monotonic_time now) {
        return m_scheduler.announced(request->id, now);
    });
}

void dispatcher::impl::refuse(const refused_request &refused)
{
    m_parts.journal.note(refused.request->request.requestId, "refused", refused.why.why.code);
    auto message = detail::notRun(refused.why);
    if (refused.request->keyed) {
        // The other replicas have sealed the key for this one.
        message.tryElsewhere = false;
    }
    if (!refused.provenNotRun) {
        message.outcome = core::outcome::unknown;
    }
    message.newestTicket = m_parts.newestTicket();
    refused.request->relay.refuse(std::move(message));
}

void dispatcher::impl::callerClosed(std::uint64_t id)
{
    bool cancelNow = false;
    process([&](core::monotonic_time now) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end()) {
            return effects{};
        }
        const request_ptr request = found->second;
        request->callerGone = true;
        m_parts.journal.note(request->request.requestId, "caller_gone", "");
        if (m_scheduler.forget(id, now)) {
            remove(request);
            (void)dropKey(*request);
            return m_scheduler.tick(now);
        }
        // A request that may not run twice is not broken off half way: its outcome is worth knowing.
        if (request->request.idempotent) {
            request->cancelWanted = true;
            cancelNow = request->phase == detail::request_phase::running;
        }
        return effects{};
    });
    if (cancelNow) {
        m_parts.driver.cancel(id);
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

dispatcher::dispatcher(dispatcher_options options, dispatcher_parts parts)
    : m_impl(std::make_shared<impl>(std::move(options), std::move(parts)))
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

void dispatcher::setSizes(std::size_t slots, std::size_t concurrency)
{
    m_impl->setSizes(slots, concurrency);
}

} // namespace medlarrack::sidecar
