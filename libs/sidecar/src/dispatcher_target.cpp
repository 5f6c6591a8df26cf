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
    for (run_start &waits : more.starts) {
        to.starts.push_back(waits);
    }
    for (slot_order &order : more.orders) {
        to.orders.push_back(std::move(order));
    }
}

std::string_view codeOf(order_end end)
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
        if (!m_watch.beginPoll(m_parts.clock.now(), urgent || !m_suspects.empty())) {
            return;
        }
    }
    m_parts.driver.poll([weak = weak_from_this()](const std::optional<engine::target_load> &load) {
        if (const auto self = weak.lock()) {
            self->onPolled(load);
        }
    });
}

void dispatcher::impl::onPolled(const std::optional<engine::target_load> &load)
{
    std::vector<suspect> settled;
    std::vector<std::uint64_t> broken;
    process([&](core::monotonic_time now) {
        const detail::poll_news news = m_watch.polled(load);
        effects decided = takeNews(news, load, now);
        settled = takeSettled(load.has_value(), now);
        if (news.restarted) {
            for (const auto &[id, request] : m_requests) {
                if (request->crashed && request->phase == detail::request_phase::running) {
                    broken.push_back(id);
                }
            }
        }
        return decided;
    });
    for (const suspect &request : settled) {
        settle(request.request, request.result);
    }
    // Connections that the restart left hanging.
    for (std::uint64_t id : broken) {
        m_parts.driver.cancel(id);
    }
}

effects dispatcher::impl::takeNews(const detail::poll_news &news, const std::optional<engine::target_load> &load,
                                   core::monotonic_time now)
{
    effects decided;
    if (news.wentDown) {
        append(decided, m_scheduler.refuseQueued({"target_unreachable", "the target doesn't answer"}, now));
    }
    if (news.restarted) {
        markCrashed(load->startedMs);
        ++m_engineRun;
        append(decided, m_scheduler.engineRestarted(now));
    }
    if (load && m_options.isEngine) {
        if (m_adoptAdapters && !news.restarted) {
            m_scheduler.adopt(load->adapters, now);
        }
        m_adoptAdapters = false;
        adoptSizes(*load);
        m_scheduler.allowOrders(!m_fences.superseded());
    }
    append(decided, m_scheduler.tick(now));
    return decided;
}

void dispatcher::impl::adoptSizes(const engine::target_load &load)
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
        const bool given = request->phase != detail::request_phase::queued;
        if (given && request->startedWall < restarted) {
            request->crashed = true;
        }
    }
}

std::vector<dispatcher::impl::suspect> dispatcher::impl::takeSettled(bool answered, core::monotonic_time now)
{
    std::vector<suspect> settled;
    std::vector<suspect> open;
    for (suspect &one : m_suspects) {
        // An answer to a poll that was begun before the break may describe the time before a crash.
        const bool cleared = answered && m_watch.lastPoll() >= one.since;
        const bool givenUp = now - one.since >= m_options.crashCheck;
        if (!cleared && givenUp) {
            one.request->crashed = true;
        }
        (cleared || givenUp ? settled : open).push_back(std::move(one));
    }
    m_suspects = std::move(open);
    return settled;
}

void dispatcher::impl::give(const slot_order &order, std::uint64_t pauses, std::uint64_t engineRun)
{
    if (m_pauses.look() != pauses || m_fences.superseded()) {
        process([&](core::monotonic_time now) {
            return m_scheduler.orderDropped(order, now);
        });
        return;
    }
    const std::uint64_t fence = m_fences.next();
    const auto ended = [weak = weak_from_this(), order, engineRun, fence](order_end end) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (end == order_end::old_fence && !self->m_fences.isNewest(fence)) {
            self->giveAgain(order, engineRun);
        } else {
            self->orderEnded(order, end, engineRun);
        }
    };
    if (order.type == slot_order::kind::load) {
        m_parts.driver.load(order.adapter, m_parts.sourceOf(order.adapter), fence, ended);
    } else {
        m_parts.driver.unload(order.adapter, fence, ended);
    }
}

void dispatcher::impl::giveAgain(const slot_order &order, std::uint64_t engineRun)
{
    // A later order of this process may have overtaken it on the wire: no proof of another process.
    m_parts.metrics.count("medlarrack_sidecar_orders_overtaken_total",
                          "Orders refused as old after a later one was given, and given again.", {});
    give(order, m_pauses.look(), engineRun);
}

void dispatcher::impl::orderEnded(const slot_order &order, order_end end, std::uint64_t engineRun)
{
    const bool isLoad = order.type == slot_order::kind::load;
    m_parts.metrics.count(isLoad ? "medlarrack_sidecar_loads_total" : "medlarrack_sidecar_unloads_total",
                          "Orders for adapters by how they ended.", {{}, {}, std::string(codeOf(end))});
    process([&](core::monotonic_time now) {
        if (engineRun != m_engineRun) {
            // An answer from before the engine's restart says nothing of now.
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
               isLoad ? m_scheduler.loadEnded(order.adapter, end, now)
                      : m_scheduler.unloadEnded(order.adapter, end, now));
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
