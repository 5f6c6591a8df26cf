#pragma once

#include <medlarrack/adapter_cache/slot_table.hpp>
#include <medlarrack/core/reason.hpp>
#include <medlarrack/engine/target_driver.hpp>
#include <medlarrack/overload/run_queue.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace medlarrack::sidecar {

/// Why a queued request is given back. The request has not been started: its outcome is "not run".
struct refusal
{
    std::uint64_t request = 0;
    core::reason why;
    std::chrono::milliseconds retryAfter{0};
    bool tryElsewhere = true;
};

/// A request to start.
struct run_start
{
    std::uint64_t request = 0;
    std::chrono::nanoseconds loadStall{0};
    /// Waiting time besides the load stall.
    std::chrono::nanoseconds queued{0};
};

/// What the scheduler decided at an event.
struct effects
{
    std::vector<refusal> refusals;
    std::vector<run_start> starts;
    std::vector<adapter_cache::slot_order> orders;
};

struct scheduler_limits
{
    overload::queue_limits queue;
    adapter_cache::slot_limits slots;
    /// Requests that run at the target at once.
    std::size_t concurrency = 16;
    /// Requests wait for the next try after a failed load no longer than this.
    std::chrono::milliseconds longestBackoffWait{250};
};

/// Joins queue and adapter slots of one target: decides what runs, what is loaded and what is refused. Takes an event
/// and the time, returns effects; holds no clock, thread or socket. Not thread-safe.
class scheduler
{
public:
    /// Policy and budget must outlive the scheduler.
    scheduler(scheduler_limits limits, adapter_cache::eviction_policy &policy, adapter_cache::load_budget &budget,
              std::uint64_t seed);

    /// Takes a request into the queue. It is not started before announced() is called for it. A refusal of the request
    /// itself is among the effects.
    [[nodiscard]] effects submit(overload::queue_item item, core::monotonic_time now);
    /// The sender has been told that the request is queued.
    [[nodiscard]] effects markAccepted(std::uint64_t request, core::monotonic_time now);
    /// The caller has gone. True when the request was still queued and is forgotten now.
    bool cancelQueued(std::uint64_t request, core::monotonic_time now);
    /// A started request has ended for certain, after this run time.
    [[nodiscard]] effects runEnded(std::uint64_t request, std::chrono::nanoseconds runTime, core::monotonic_time now);
    /// A started request was never given to the target.
    [[nodiscard]] effects runNotStarted(std::uint64_t request, core::monotonic_time now);
    /// The engine declined a request as it doesn't have the adapter.
    void markNotLoaded(const core::adapter_ref &adapter);

    [[nodiscard]] effects onLoadResult(const core::adapter_ref &adapter, engine::order_end end,
                                       core::monotonic_time now);
    [[nodiscard]] effects onUnloadResult(const core::adapter_ref &adapter, engine::order_end end,
                                         core::monotonic_time now);
    /// An order was dropped before it was given.
    [[nodiscard]] effects orderNotSent(const adapter_cache::slot_order &order, core::monotonic_time now);
    /// The engine has these adapters from before this process.
    void adopt(std::span<const core::adapter_ref> adapters, core::monotonic_time now);
    /// The engine started anew, with nothing loaded.
    [[nodiscard]] effects engineRestarted(core::monotonic_time now);
    /// Refuses all that is queued.
    [[nodiscard]] effects refuseQueued(const core::reason &why, core::monotonic_time now);
    /// Whether loads and unloads are ordered; true at first.
    void allowOrders(bool allowed);
    /// Time has passed.
    [[nodiscard]] effects tick(core::monotonic_time now);

    void setConcurrency(std::size_t concurrency);
    void setSlots(std::size_t slots);
    void setWeight(std::string_view operatorName, double weight);

    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t concurrency() const;
    [[nodiscard]] std::size_t slots() const;
    [[nodiscard]] std::vector<core::adapter_ref> adapters() const;
    [[nodiscard]] std::size_t pins(const core::adapter_ref &adapter) const;

private:
    struct queued_state
    {
        bool accepted = false;
        std::chrono::nanoseconds loadStall{0};
    };

    [[nodiscard]] std::optional<refusal> refuseForBackoff(const overload::queue_item &item,
                                                          core::monotonic_time now) const;
    [[nodiscard]] bool mayRun(const overload::queue_item &item) const;
    void refuse(const std::vector<overload::queue_item> &items, const core::reason &why,
                std::chrono::milliseconds retryAfter, core::monotonic_time now, effects &result);
    void recordLoadStalls(const core::adapter_ref &adapter, core::monotonic_time now);
    void startRuns(core::monotonic_time now, effects &result);
    void planOrders(core::monotonic_time now, effects &result);
    void schedule(core::monotonic_time now, effects &result);
    void removeRunning(std::uint64_t request, core::monotonic_time now);

    scheduler_limits m_limits;
    overload::run_queue m_queue;
    adapter_cache::slot_table m_slots;
    std::unordered_map<std::uint64_t, queued_state> m_queued;
    /// Class of each request that runs.
    std::unordered_map<std::uint64_t, core::request_class> m_running;
    bool m_ordersAllowed = true;
};

} // namespace medlarrack::sidecar
