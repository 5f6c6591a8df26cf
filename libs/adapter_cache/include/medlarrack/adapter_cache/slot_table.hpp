#pragma once

#include <medlarrack/adapter_cache/eviction_policy.hpp>
#include <medlarrack/adapter_cache/load_backoff.hpp>
#include <medlarrack/adapter_cache/load_budget.hpp>
#include <medlarrack/core/adapter_ref.hpp>
#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// Management of the adapter slots of one engine: loads, evictions and pins.
namespace medlarrack::adapter_cache {

struct slot_limits
{
    std::size_t slots = 8;
    /// After a request has waited this long for a slot, an adapter that is still in use is retired for it.
    std::chrono::milliseconds longestSlotWait{1'000};
    std::chrono::milliseconds firstBackoff{200};
    std::chrono::milliseconds longestBackoff{10'000};
};

/// An order to the engine to load or unload an adapter.
struct slot_order
{
    enum class kind {
        load,
        unload,
    };

    kind type = kind::load;
    core::adapter_ref adapter;
};

/// A queued request that waits for an adapter.
struct waiting_request
{
    core::adapter_ref adapter;
    std::uint64_t requestId = 0;
    core::monotonic_time waitingSince{};
};

/// Result of a load order.
enum class load_result {
    loaded,
    /// The engine or the store reported a failure. The adapter is not loaded.
    failed,
    /// There was no answer and the adapter may be loaded. It is unloaded before its slot is reused.
    unknown,
    /// The order was dropped before it was sent. No backoff follows.
    not_ordered,
};

/// Result of an unload order.
enum class unload_result {
    /// The adapter is no longer loaded.
    unloaded,
    /// The engine still runs requests on the adapter, so it stays loaded.
    in_use,
    /// There was no answer. The order is repeated later.
    unknown,
    /// The order was dropped before it was sent. The adapter can be used again.
    not_ordered,
};

/// Ids of requests, sorted.
using request_list = std::vector<std::uint64_t>;

/// The adapter slots of one engine. A request holds a pin on its adapter from its admission until its run is known to
/// have ended; a pinned adapter is never ordered to be unloaded. Requests for the same adapter share one load. Not
/// thread-safe.
class slot_table
{
public:
    /// `policy` and `budget` must outlive the table. `seed` determines the jitter of the backoff.
    slot_table(slot_limits limits, eviction_policy &policy, load_budget &budget, std::uint64_t seed);

    /// Whether the adapter is loaded and can be pinned.
    [[nodiscard]] bool isReady(const core::adapter_ref &adapter) const;
    /// Whether a load of the adapter is in progress.
    [[nodiscard]] bool isLoading(const core::adapter_ref &adapter) const;
    /// Pins a loaded adapter for a request. Returns false if the adapter isn't ready. The request that started the load
    /// already holds its pin.
    [[nodiscard]] bool pin(std::uint64_t requestId, const core::adapter_ref &adapter, core::monotonic_time now);
    /// Releases a request's pin, if it has one.
    void unpin(std::uint64_t requestId, core::monotonic_time now);
    [[nodiscard]] std::size_t pins(const core::adapter_ref &adapter) const;

    /// Decides which orders to give for waiting requests, passed in service order. The request that starts a load gets
    /// a pin.
    [[nodiscard]] std::vector<slot_order> plan(std::span<const waiting_request> waiting, core::monotonic_time now);
    /// Time at which plan() may give further orders without another event; nothing if only an event can change that.
    [[nodiscard]] std::optional<core::monotonic_time> nextPlanTime() const;

    /// Handles the end of a load. If it failed, removes the pins of the requests that held one and returns them.
    [[nodiscard]] request_list loadEnded(const core::adapter_ref &adapter, load_result end, core::monotonic_time now);
    void unloadEnded(const core::adapter_ref &adapter, unload_result end, core::monotonic_time now);
    /// Time before which a failed load isn't retried; nothing if the adapter may be loaded now.
    [[nodiscard]] std::optional<core::monotonic_time> backoff(const core::adapter_ref &adapter,
                                                              core::monotonic_time now) const;

    /// Handles a report of the engine that an adapter isn't loaded. The adapter takes no more pins, and its slot is
    /// freed with its last one.
    void markNotLoaded(const core::adapter_ref &adapter);
    /// Adds adapters that the engine had loaded before this table was created.
    void adopt(std::span<const core::adapter_ref> adapters, core::monotonic_time now);
    /// Clears the table after a restart of the engine, which has nothing loaded then. Returns the requests whose pins
    /// were removed.
    [[nodiscard]] request_list engineRestarted(core::monotonic_time now);

    /// Changes the number of slots. If there are fewer than are occupied, the excess is freed as pins are released.
    void resize(std::size_t slots);
    [[nodiscard]] std::size_t slots() const;
    /// Adapters that are loaded or loading, sorted. Excludes retiring ones.
    [[nodiscard]] std::vector<core::adapter_ref> adapters() const;

private:
    enum class slot_state {
        loading,
        loaded,
        unloading,
    };
    struct slot
    {
        slot_state state = slot_state::loading;
        std::size_t pins = 0;
        core::monotonic_time lastUsed{};
        core::monotonic_time loadStarted{};
        std::chrono::nanoseconds loadTime{0};
        /// Takes no more pins and is unloaded after its last one is released.
        bool retiring = false;
        /// The engine doesn't have the adapter loaded, so the slot is freed without an unload order.
        bool notLoaded = false;
        /// No unload is ordered before this time.
        core::monotonic_time earliestUnload{};
    };
    using slot_map = std::map<core::adapter_ref, slot>;

    class planner;

    request_list dropPins(const core::adapter_ref &adapter);
    void updateNextPlanTime(core::monotonic_time when);

    slot_limits m_limits;
    eviction_policy &m_policy;
    load_budget &m_budget;
    load_backoff m_backoff;
    slot_map m_slots;
    std::unordered_map<std::uint64_t, core::adapter_ref> m_pins;
    std::optional<core::monotonic_time> m_nextPlanTime;
};

} // namespace medlarrack::adapter_cache
