#pragma once

#include <medlarrack/agent/engine_format.hpp>
#include <medlarrack/agent/load_pacer.hpp>
#include <medlarrack/agent/weight_memory.hpp>
#include <medlarrack/catalog/recent_adapters.hpp>
#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarrack::agent {

/// What the engine may hold, according to the published state.
struct engine_limits
{
    /// Base models that it is to hold; they fit beside each other.
    std::vector<std::string> models;
    std::uint32_t adapterSlots = 0;
    /// Memory for base models and adapters together.
    double weightsMb = std::numeric_limits<double>::infinity();
    /// All models that are listed, also those that it isn't to hold. One that it holds and that isn't listed is
    /// unloaded if its memory is needed.
    std::map<std::string, model_size, std::less<>> listedModels = {};
};

/// Times of adapter loads as they were lately.
struct load_times
{
    std::chrono::milliseconds fromStore{0};
    std::chrono::milliseconds fromMemory{0};
    /// Between the starts of two loads while others wait.
    std::chrono::milliseconds betweenStarts{0};
};

/// An ordered load that a report has shown as complete.
struct completed_load
{
    std::string adapter;
    std::chrono::milliseconds time{0};
    /// Whether it came from the engine's memory, by its time.
    bool fromMemory = false;
};

/// Number of requests by "model/adapter".
using request_counts = std::map<std::string, std::uint32_t, std::less<>>;

/// Decides which load and unload orders one engine gets: loads the base models after a restart, and in the place of
/// others when a new state lists them, replaces outdated adapter versions, loads requested adapters, those with the
/// most waiting requests first, and frees slots by unloading the least recently used adapter. Learns from its loads how
/// busy the weight store is and what the engine's memory keeps. Meant for many adapters with Zipf-distributed
/// popularity that share few slots. Does no I/O and reads no clock; not thread-safe.
class order_planner
{
public:
    /// The seed is that of random pauses between loads.
    explicit order_planner(std::uint32_t seed);

    void setLimits(engine_limits limits);
    /// The newest version of an adapter; older ones are ignored.
    void setRelease(std::string_view adapter, std::uint64_t version);
    /// Notes that requests of a gateway wait for an adapter.
    void requestAdapter(std::string_view adapter, core::monotonic_time now);
    /// Sets the adapters that a gateway's requests use or wait for; replaces its previous ones. An empty map removes
    /// the gateway.
    void setInUse(std::string_view gateway, request_counts adapters, core::monotonic_time now);

    /// Whether a report is older than the last one, by the engine's start and its count of orders. The engine is
    /// believed again if it reports nothing else for a while, as after its clock was set back.
    [[nodiscard]] bool isOutdated(const engine_report &report, core::monotonic_time now) const;
    /// Takes over a new report of the engine, unless it is outdated. Returns the loads that have ended since the last
    /// one. Only a report shows that the engine holds an adapter no longer.
    std::vector<completed_load> onReport(engine_report report, core::monotonic_time now);
    /// Gives no orders until the next report.
    void onEngineUnreachable();

    /// The next order to send, if any. The caller passes its result to onOrderResult.
    [[nodiscard]] std::optional<engine_order> nextOrder(core::monotonic_time now);
    void onOrderResult(const engine_order &order, order_result result, core::monotonic_time now);
    /// Whether no order follows before the next report, as the last order's result doesn't tell what the engine holds.
    [[nodiscard]] bool needsReport() const;

    /// Whether adapters are requested, or the engine is loading or holds no model, so that it should be polled often.
    [[nodiscard]] bool hasPendingWork() const;
    [[nodiscard]] bool isEngineUp() const;
    /// Requested adapters whose load is not in progress yet.
    [[nodiscard]] std::size_t pendingLoads() const;
    /// Number of further adapters whose loads from the weight store could begin at once: slots that are free or
    /// evictable, within the limit of concurrent loads, less the pending loads.
    [[nodiscard]] std::size_t availableSlots(core::monotonic_time now) const;
    /// The same for loads from the engine's memory, which don't wait for the weight store.
    [[nodiscard]] std::size_t availableMemorySlots(core::monotonic_time now) const;
    /// Expected times of loads.
    [[nodiscard]] load_times loadTimes(core::monotonic_time now) const;
    /// What the engine's memory is expected to have.
    [[nodiscard]] const catalog::recent_adapters &recentAdapters() const;
    [[nodiscard]] const load_pacer &pacer() const;
    [[nodiscard]] const engine_report &report() const;

private:
    [[nodiscard]] std::optional<engine_order> nextUncheckedOrder(core::monotonic_time now);
    [[nodiscard]] std::optional<engine_order> nextModelOrder(core::monotonic_time now) const;
    /// The unload of a base model that is no longer listed, if one is held.
    [[nodiscard]] std::optional<engine_order> nextModelUnload(core::monotonic_time now) const;
    /// The unload of the least recently used adapter.
    [[nodiscard]] std::optional<engine_order> nextUnload(core::monotonic_time now) const;
    [[nodiscard]] bool holdsModel(std::string_view model) const;
    /// A base model that is no longer listed makes room for one that is.
    [[nodiscard]] bool isReplacingModel() const;
    /// Memory of the base models that the engine holds or may have been ordered to load.
    [[nodiscard]] double modelsMb() const;
    /// Memory of all that the engine holds, loads or may have been ordered to load.
    [[nodiscard]] double usedMb() const;
    [[nodiscard]] std::optional<engine_order> nextVersionUpdate(core::monotonic_time now) const;
    [[nodiscard]] std::optional<engine_order> nextLoad(core::monotonic_time now);
    /// A load that was ordered and whose end no report has shown.
    struct ordered_load
    {
        core::monotonic_time startedAt{};
        /// Whether the engine's memory was expected to have the adapter.
        bool expectedInMemory = false;
    };
    [[nodiscard]] std::size_t loadsInProgress() const;
    /// Slots that are free or evictable.
    [[nodiscard]] std::size_t usableSlots(core::monotonic_time now) const;
    [[nodiscard]] std::size_t storeLoadsInProgress() const;
    [[nodiscard]] bool mayLoad(std::string_view adapter, core::monotonic_time now) const;
    [[nodiscard]] std::size_t availableLoads(core::monotonic_time now) const;
    void recordLoadStart(std::string_view adapter, core::monotonic_time now);
    completed_load recordLoadEnd(const std::string &adapter, const ordered_load &load, core::monotonic_time now);
    [[nodiscard]] bool isEvictable(std::string_view adapter, core::monotonic_time now) const;
    [[nodiscard]] core::monotonic_time lastUse(std::string_view adapter) const;
    [[nodiscard]] std::optional<std::string> leastRecentlyUsedEvictable(core::monotonic_time now) const;
    [[nodiscard]] const std::string *highestPriorityAdapter(core::monotonic_time now) const;
    [[nodiscard]] bool isInUse(std::string_view adapter) const;
    [[nodiscard]] std::uint32_t requestCount(std::string_view adapter) const;
    [[nodiscard]] bool isLoading(std::string_view adapter) const;
    [[nodiscard]] std::size_t occupiedSlots() const;
    [[nodiscard]] bool holdsNewest(std::string_view adapter) const;
    [[nodiscard]] std::uint64_t newestVersion(std::string_view adapter) const;
    [[nodiscard]] bool isOrderAllowed(std::string_view key, core::monotonic_time now) const;

    engine_limits m_limits;
    weight_memory m_memory;
    engine_report m_report;
    core::monotonic_time m_reportedAt{};
    bool m_engineUp = false;
    bool m_needsReport = false;
    /// The engine's count of accepted orders, as far as its report and the orders since tell.
    std::optional<std::uint64_t> m_sequence;
    catalog::adapter_versions m_releases;
    /// Requested adapters with the time of their last request, in the order of their first one.
    std::deque<std::pair<std::string, core::monotonic_time>> m_requested;
    std::map<std::string, request_counts, std::less<>> m_inUse;
    std::map<std::string, core::monotonic_time, std::less<>> m_lastUsed;
    /// Adapters whose load was ordered but is in no report yet, with the time of the order's result.
    std::map<std::string, core::monotonic_time, std::less<>> m_unconfirmedLoads;
    /// Base models whose load was ordered but is in no report yet, with the time of the order's result.
    std::map<std::string, core::monotonic_time, std::less<>> m_unconfirmedModels;
    /// Unloads that were done by their answer and that no report shows yet, with the time of that answer.
    std::map<std::string, core::monotonic_time, std::less<>> m_unconfirmedUnloads;
    std::map<std::string, ordered_load, std::less<>> m_orderedLoads;
    load_pacer m_pacer;
    catalog::recent_adapters m_recentAdapters;
    std::chrono::nanoseconds m_memoryLoadTime;
    std::chrono::nanoseconds m_startInterval;
    /// When the last load was started, or loads began to wait.
    core::monotonic_time m_lastStart{};
    /// Earliest time of the next order for an adapter or model.
    std::map<std::string, core::monotonic_time, std::less<>> m_notBefore;
};

} // namespace medlarrack::agent
