#include <medlarrack/sidecar/scheduler.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::sidecar {
namespace {

using adapter_cache::slot_order;
using engine::order_end;
using overload::queue_item;

std::chrono::milliseconds roundUp(std::chrono::nanoseconds time)
{
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(time, std::chrono::nanoseconds::zero()));
}

adapter_cache::load_result toLoadResult(order_end end)
{
    switch (end) {
    case order_end::done:
        return adapter_cache::load_result::loaded;
    case order_end::unknown:
        return adapter_cache::load_result::unknown;
    default:
        return adapter_cache::load_result::failed;
    }
}

adapter_cache::unload_result toUnloadResult(order_end end)
{
    switch (end) {
    case order_end::done:
    case order_end::not_loaded:
        return adapter_cache::unload_result::unloaded;
    case order_end::in_use:
        return adapter_cache::unload_result::in_use;
    default:
        return adapter_cache::unload_result::unknown;
    }
}

/// Whether the engine failed to load the adapter, so that its queued requests are better retried at another replica.
bool isAdapterFault(order_end end)
{
    return end == order_end::failed;
}

} // namespace

scheduler::scheduler(scheduler_limits limits, adapter_cache::eviction_policy &policy,
                     adapter_cache::load_budget &budget, std::uint64_t seed)
    : m_limits(limits)
    , m_queue(limits.queue)
    , m_slots(limits.slots, policy, budget, seed)
{
}

effects scheduler::submit(queue_item item, core::monotonic_time now)
{
    effects result;
    if (auto refused = refuseForBackoff(item, now)) {
        result.refusals.push_back(std::move(*refused));
        return result;
    }
    const std::uint64_t request = item.id;
    auto pushed = m_queue.push(std::move(item), m_limits.concurrency, now);
    refuse(pushed.displaced, {"queue_full", "more urgent work took the place in the queue"}, pushed.retryAfter, now,
           result);
    if (!pushed.queued) {
        result.refusals.push_back({request, std::move(pushed.why), pushed.retryAfter, true});
        return result;
    }
    m_queued.emplace(request, queued_state{});
    return result;
}

effects scheduler::markAccepted(std::uint64_t request, core::monotonic_time now)
{
    const auto found = m_queued.find(request);
    if (found != m_queued.end()) {
        found->second.accepted = true;
    }
    return tick(now);
}

bool scheduler::cancelQueued(std::uint64_t request, core::monotonic_time now)
{
    if (m_queued.erase(request) == 0) {
        return false;
    }
    (void)m_queue.remove(request);
    m_slots.unpin(request, now);
    return true;
}

effects scheduler::runEnded(std::uint64_t request, std::chrono::nanoseconds runTime, core::monotonic_time now)
{
    const auto found = m_running.find(request);
    if (found != m_running.end()) {
        m_queue.estimate().record(found->second, runTime);
    }
    return runNotStarted(request, now);
}

effects scheduler::runNotStarted(std::uint64_t request, core::monotonic_time now)
{
    removeRunning(request, now);
    return tick(now);
}

void scheduler::markNotLoaded(const core::adapter_ref &adapter)
{
    m_slots.markNotLoaded(adapter);
}

effects scheduler::onLoadResult(const core::adapter_ref &adapter, order_end end, core::monotonic_time now)
{
    effects result;
    if (end == order_end::done) {
        recordLoadStalls(adapter, now);
    }
    (void)m_slots.loadEnded(adapter, toLoadResult(end), now);
    const auto until = m_slots.backoff(adapter, now);
    if (until && isAdapterFault(end)) {
        const auto waiting = m_queue.removeIf([&adapter](const queue_item &item) {
            return item.adapter == adapter;
        });
        refuse(waiting, {"load_failed", "the target could not load the adapter"}, roundUp(*until - now), now, result);
    }
    schedule(now, result);
    return result;
}

effects scheduler::onUnloadResult(const core::adapter_ref &adapter, order_end end, core::monotonic_time now)
{
    m_slots.unloadEnded(adapter, toUnloadResult(end), now);
    return tick(now);
}

effects scheduler::orderNotSent(const slot_order &order, core::monotonic_time now)
{
    if (order.type == slot_order::kind::load) {
        (void)m_slots.loadEnded(order.adapter, adapter_cache::load_result::not_ordered, now);
    } else {
        m_slots.unloadEnded(order.adapter, adapter_cache::unload_result::not_ordered, now);
    }
    return tick(now);
}

void scheduler::adopt(std::span<const core::adapter_ref> adapters, core::monotonic_time now)
{
    m_slots.adopt(adapters, now);
}

effects scheduler::engineRestarted(core::monotonic_time now)
{
    (void)m_slots.engineRestarted(now);
    return tick(now);
}

effects scheduler::refuseQueued(const core::reason &why, core::monotonic_time now)
{
    effects result;
    refuse(m_queue.removeIf([](const queue_item & /*item*/) {
        return true;
    }),
           why, {}, now, result);
    return result;
}

void scheduler::allowOrders(bool allowed)
{
    m_ordersAllowed = allowed;
}

effects scheduler::tick(core::monotonic_time now)
{
    effects result;
    schedule(now, result);
    return result;
}

void scheduler::setConcurrency(std::size_t concurrency)
{
    m_limits.concurrency = std::max<std::size_t>(concurrency, 1);
}

void scheduler::setSlots(std::size_t slots)
{
    m_slots.resize(slots);
}

void scheduler::setWeight(std::string_view operatorName, double weight)
{
    m_queue.setWeight(operatorName, weight);
}

std::size_t scheduler::queued() const
{
    return m_queue.size();
}

std::size_t scheduler::running() const
{
    return m_running.size();
}

std::size_t scheduler::concurrency() const
{
    return m_limits.concurrency;
}

std::size_t scheduler::slots() const
{
    return m_slots.slots();
}

std::vector<core::adapter_ref> scheduler::adapters() const
{
    return m_slots.adapters();
}

std::size_t scheduler::pins(const core::adapter_ref &adapter) const
{
    return m_slots.pins(adapter);
}

std::optional<refusal> scheduler::refuseForBackoff(const queue_item &item, core::monotonic_time now) const
{
    const auto until = m_slots.backoff(item.adapter, now);
    if (!until) {
        return std::nullopt;
    }
    const auto wait = *until - now;
    if (wait <= m_limits.longestBackoffWait && *until < item.deadline) {
        return std::nullopt;
    }
    return refusal{item.id, {"load_failed", "the adapter failed to load here a moment ago"}, roundUp(wait), true};
}

bool scheduler::mayRun(const queue_item &item) const
{
    if (!m_queued.at(item.id).accepted) {
        return false;
    }
    return item.adapter.adapter.empty() || m_slots.isReady(item.adapter);
}

void scheduler::refuse(const std::vector<queue_item> &items, const core::reason &why,
                       std::chrono::milliseconds retryAfter, core::monotonic_time now, effects &result)
{
    for (const queue_item &item : items) {
        m_queued.erase(item.id);
        m_slots.unpin(item.id, now);
        result.refusals.push_back({item.id, why, retryAfter, true});
    }
}

void scheduler::recordLoadStalls(const core::adapter_ref &adapter, core::monotonic_time now)
{
    for (const queue_item *item : m_queue.inServiceOrder()) {
        if (item->adapter == adapter) {
            m_queued.at(item->id).loadStall = now - item->enqueued;
        }
    }
}

void scheduler::startRuns(core::monotonic_time now, effects &result)
{
    while (m_running.size() < m_limits.concurrency) {
        const auto item = m_queue.pop([this](const queue_item &candidate) {
            return mayRun(candidate);
        });
        if (!item) {
            return;
        }
        if (!item->adapter.adapter.empty()) {
            (void)m_slots.pin(item->id, item->adapter, now);
        }
        const auto stall = m_queued.at(item->id).loadStall;
        m_queued.erase(item->id);
        m_running.emplace(item->id, item->priority);
        result.starts.push_back({item->id, stall, now - item->enqueued - stall});
    }
}

void scheduler::planOrders(core::monotonic_time now, effects &result)
{
    if (!m_ordersAllowed) {
        return;
    }
    std::vector<adapter_cache::waiting_request> wanted;
    for (const queue_item *item : m_queue.inServiceOrder()) {
        if (!item->adapter.adapter.empty()) {
            wanted.push_back({item->adapter, item->id, item->enqueued});
        }
    }
    for (slot_order &order : m_slots.plan(wanted, now)) {
        result.orders.push_back(std::move(order));
    }
}

void scheduler::schedule(core::monotonic_time now, effects &result)
{
    refuse(m_queue.removeExpired(now), {"deadline_exceeded", "the deadline passed while the request was queued"}, {},
           now, result);
    startRuns(now, result);
    planOrders(now, result);
}

void scheduler::removeRunning(std::uint64_t request, core::monotonic_time now)
{
    m_running.erase(request);
    m_slots.unpin(request, now);
}

} // namespace medlarrack::sidecar
