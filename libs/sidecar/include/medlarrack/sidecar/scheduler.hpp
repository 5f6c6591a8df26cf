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

/// Reason why a request is removed from the queue, or not queued. It was not started: its outcome is "not run".
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
    /// Time in the queue, excluding the load stall.
    std::chrono::nanoseconds queued{0};
};

/// Actions that result from an event.
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
    /// Maximum number of requests running at the target at the same time.
    std::size_t concurrency = 16;
    /// A request is refused rather than wait longer than this for a retry of a failed load.
    std::chrono::milliseconds longestBackoffWait{250};
};

/// Combines the request queue and the adapter slots of one target: decides which requests run or are refused and which
/// adapters are loaded. Each event takes the time and returns its effects; there is no clock and no I/O. Not
/// thread-safe.
class scheduler
{
public:
    /// Policy and budget must outlive the scheduler.
    scheduler(scheduler_limits limits, adapter_cache::eviction_policy &policy, adapter_cache::load_budget &budget,
              std::uint64_t seed);

    /// Queues a request, which is not started before markAccepted() is called for it. The effects may include a refusal
    /// of the request itself.
    [[nodiscard]] effects submit(overload::queue_item item, core::monotonic_time now);
    /// The sender has been notified that the request is queued.
    [[nodiscard]] effects markAccepted(std::uint64_t request, core::monotonic_time now);
    /// Removes a request from the queue. False if it was not queued.
    bool cancelQueued(std::uint64_t request, core::monotonic_time now);
    /// A started request has definitely ended, after this run time.
    [[nodiscard]] effects runEnded(std::uint64_t request, std::chrono::nanoseconds runTime, core::monotonic_time now);
    /// A started request was not sent to the target.
    [[nodiscard]] effects runNotStarted(std::uint64_t request, core::monotonic_time now);
    /// The engine declined a request because the adapter is not loaded.
    void markNotLoaded(const core::adapter_ref &adapter);

    [[nodiscard]] effects onLoadResult(const core::adapter_ref &adapter, engine::order_end end,
                                       core::monotonic_time now);
    [[nodiscard]] effects onUnloadResult(const core::adapter_ref &adapter, engine::order_end end,
                                         core::monotonic_time now);
    /// An order was discarded before it was sent.
    [[nodiscard]] effects orderNotSent(const adapter_cache::slot_order &order, core::monotonic_time now);
    /// These adapters were already loaded in the engine when this process started.
    void adopt(std::span<const core::adapter_ref> adapters, core::monotonic_time now);
    /// The engine was restarted and has no adapters loaded.
    [[nodiscard]] effects engineRestarted(core::monotonic_time now);
    /// Refuses all queued requests.
    [[nodiscard]] effects refuseQueued(const core::reason &why, core::monotonic_time now);
    /// Sets whether loads and unloads are ordered; true by default.
    void allowOrders(bool allowed);
    /// Refuses expired requests, and starts runs and orders that have become possible.
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
    /// Class of each running request.
    std::unordered_map<std::uint64_t, core::request_class> m_running;
    bool m_ordersAllowed = true;
};

} // namespace medlarrack::sidecar
