#include "dispatcher_impl.hpp"

#include <utility>

namespace medlarrack::sidecar {
namespace {

using adapter_cache::slot_order;
using engine::order_end;

void append(effects &to, effects more)
{
    for (refusal &refused : more.refusals) {
        to.refusals.push_back(std::move(refused));
    }
    for (run_start &runStart : more.starts) {
        to.starts.push_back(runStart);
    }
    for (slot_order &order : more.orders) {
        to.orders.push_back(std::move(order));
    }
}

std::string_view resultCode(order_end end)
{
    switch (end) {
    case order_end::done:
        return "done";
    case order_end::failed:
        return "failed";
    case order_end::store_busy:
        return "store_busy";
    case order_end::no_slot:
        return "no_slot";
    case order_end::not_loaded:
        return "not_loaded";
    case order_end::in_use:
        return "in_use";
    case order_end::old_fence:
        return "old_fence";
    case order_end::not_sent:
        return "not_sent";
    case order_end::unknown:
        break;
    }
    return "unknown";
}

} // namespace

void dispatcher::impl::pollTarget(bool urgent)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_targetMonitor.beginPoll(m_dependencies.clock.now(), urgent || !m_unresolvedRuns.empty())) {
            return;
        }
    }
    m_dependencies.driver.poll([weak = weak_from_this()](const std::optional<engine::target_load> &load) {
        if (const auto self = weak.lock()) {
            self->onPollResult(load);
        }
    });
}

void dispatcher::impl::onPollResult(const std::optional<engine::target_load> &load)
{
    std::vector<unresolved_run> resolved;
    std::vector<std::uint64_t> interruptedRuns;
    process([&](core::monotonic_time now) {
        const detail::poll_result pollResult = m_targetMonitor.onPollResult(load);
        effects decided = applyPollResult(pollResult, load, now);
        resolved = takeResolvedRuns(load.has_value(), now);
        if (pollResult.restarted) {
            for (const auto &[id, request] : m_requests) {
                if (request->targetCrashed && request->phase == detail::request_phase::running) {
                    interruptedRuns.push_back(id);
                }
            }
        }
        return decided;
    });
    for (const unresolved_run &run : resolved) {
        finishRun(run.request, run.result);
    }
    // The restart may leave connections open on which no answer will arrive.
    for (std::uint64_t id : interruptedRuns) {
        m_dependencies.driver.cancel(id);
    }
}

effects dispatcher::impl::applyPollResult(const detail::poll_result &pollResult,
                                          const std::optional<engine::target_load> &load, core::monotonic_time now)
{
    effects decided;
    if (pollResult.wentDown) {
        append(decided, m_scheduler.refuseQueued({"target_unreachable", "the target doesn't answer"}, now));
    }
    if (pollResult.restarted) {
        markCrashed(load->startedMs);
        ++m_engineIncarnation;
        append(decided, m_scheduler.engineRestarted(now));
    }
    if (load && m_options.isEngine) {
        if (m_adoptAdapters && !pollResult.restarted) {
            m_scheduler.adopt(load->adapters, now);
        }
        m_adoptAdapters = false;
        adoptCapacity(*load);
        m_scheduler.allowOrders(!m_fences.superseded());
    }
    append(decided, m_scheduler.tick(now));
    return decided;
}

void dispatcher::impl::adoptCapacity(const engine::target_load &load)
{
    if (m_options.adoptSlots && load.slots != 0) {
        m_scheduler.setSlots(load.slots);
    }
    if (m_options.adoptConcurrency && load.batchSize != 0) {
        m_scheduler.setConcurrency(load.batchSize);
    }
}

void dispatcher::impl::markCrashed(std::uint64_t restartedMs)
{
    const core::wall_time restarted{std::chrono::milliseconds(restartedMs)};
    for (const auto &[id, request] : m_requests) {
        const bool sentToTarget = request->phase != detail::request_phase::queued;
        if (sentToTarget && request->startedWall < restarted) {
            request->targetCrashed = true;
        }
    }
}

std::vector<dispatcher::impl::unresolved_run> dispatcher::impl::takeResolvedRuns(bool answered,
                                                                                 core::monotonic_time now)
{
    std::vector<unresolved_run> resolved;
    std::vector<unresolved_run> unresolved;
    for (unresolved_run &run : m_unresolvedRuns) {
        // A poll that began before the connection broke may have been answered before a crash.
        const bool targetAlive = answered && m_targetMonitor.lastPoll() >= run.since;
        const bool timedOut = now - run.since >= m_options.crashCheck;
        if (!targetAlive && timedOut) {
            run.request->targetCrashed = true;
        }
        (targetAlive || timedOut ? resolved : unresolved).push_back(std::move(run));
    }
    m_unresolvedRuns = std::move(unresolved);
    return resolved;
}

void dispatcher::impl::sendOrder(const slot_order &order, std::uint64_t pauseCount, std::uint64_t engineIncarnation)
{
    if (m_pauseDetector.look() != pauseCount || m_fences.superseded()) {
        process([&](core::monotonic_time now) {
            return m_scheduler.orderNotSent(order, now);
        });
        return;
    }
    const std::uint64_t fence = m_fences.next();
    const auto onResult = [weak = weak_from_this(), order, engineIncarnation, fence](order_end end) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (end == order_end::old_fence && !self->m_fences.isNewest(fence)) {
            self->resendOrder(order, engineIncarnation);
        } else {
            self->onOrderResult(order, end, engineIncarnation);
        }
    };
    if (order.type == slot_order::kind::load) {
        m_dependencies.driver.load(order.adapter, m_dependencies.weightsUrl(order.adapter), fence, onResult);
    } else {
        m_dependencies.driver.unload(order.adapter, fence, onResult);
    }
}

void dispatcher::impl::resendOrder(const slot_order &order, std::uint64_t engineIncarnation)
{
    // A later order of this process may have arrived first, so the refusal doesn't prove that another process took
    // over.
    m_dependencies.metrics.count("medlarrack_sidecar_orders_overtaken_total",
                                 "Orders refused as old after a later one was given, and given again.", {});
    sendOrder(order, m_pauseDetector.look(), engineIncarnation);
}

void dispatcher::impl::onOrderResult(const slot_order &order, order_end end, std::uint64_t engineIncarnation)
{
    const bool isLoad = order.type == slot_order::kind::load;
    m_dependencies.metrics.count(isLoad ? "medlarrack_sidecar_loads_total" : "medlarrack_sidecar_unloads_total",
                                 "Orders for adapters by how they ended.", {{}, {}, std::string(resultCode(end))});
    process([&](core::monotonic_time now) {
        if (engineIncarnation != m_engineIncarnation) {
            // The order was sent before the engine's restart; its result says nothing about the engine's present state.
            return effects{};
        }
        effects decided;
        if (end == order_end::old_fence) {
            append(decided, supersede(now));
        }
        if (end == order_end::no_slot) {
            m_adoptAdapters = true;
        }
        append(decided,
               isLoad ? m_scheduler.onLoadResult(order.adapter, end, now)
                      : m_scheduler.onUnloadResult(order.adapter, end, now));
        return decided;
    });
    if (end == order_end::no_slot) {
        pollTarget(/*urgent=*/true);
    }
}

effects dispatcher::impl::supersede(core::monotonic_time now)
{
    m_fences.supersede();
    m_scheduler.allowOrders(false);
    return m_scheduler.refuseQueued({"superseded", "another sidecar has taken over the target"}, now);
}

} // namespace medlarrack::sidecar
