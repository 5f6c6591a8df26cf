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

/// Decisions about the adapter slots of one engine.
namespace medlarrack::adapter_cache {

struct slot_limits
{
    std::size_t slots = 8;
    /// A request that has waited for a slot this long makes one adapter finish its work and leave.
    std::chrono::milliseconds longestSlotWait{1'000};
    std::chrono::milliseconds firstBackoff{200};
    std::chrono::milliseconds longestBackoff{10'000};
};

/// An order for the engine.
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

/// How a load ended.
enum class load_result {
    loaded,
    /// The engine or the store says that it failed; the adapter is not loaded.
    failed,
    /// No answer: it may be loaded. It is unloaded before its slot is used again.
    unknown,
    /// The order was dropped before it was given: nothing happened, and no backoff follows.
    not_ordered,
};

/// How an unload ended.
enum class unload_result {
    /// The adapter isn't loaded any more.
    unloaded,
    /// The engine still runs something on it; it stays.
    in_use,
    /// No answer: ordered again later.
    unknown,
    /// The order was dropped before it was given: the adapter serves on.
    not_ordered,
};

/// What happened to requests' pins when a table was changed by force.
using request_list = std::vector<std::uint64_t>;

/// The adapter slots of one engine. A pin is a request's use of an adapter, held from its admission to the proven end
/// of its run; while an adapter has a pin, no order to unload it is given. Requests for one adapter share one load. Not
/// thread-safe.
class slot_table
{
public:
    /// Policy and budget must outlive the table.
    slot_table(slot_limits limits, eviction_policy &policy, load_budget &budget, std::uint64_t seed);

    /// Whether a request could be pinned to the adapter and run now.
    [[nodiscard]] bool isReady(const core::adapter_ref &adapter) const;
    /// Whether a load of the adapter is in progress.
    [[nodiscard]] bool isLoading(const core::adapter_ref &adapter) const;
    /// Pins a loaded adapter; false when it isn't ready. A request that waits for the load already holds its pin.
    [[nodiscard]] bool pin(std::uint64_t requestId, const core::adapter_ref &adapter, core::monotonic_time now);
    /// Drops a request's pin, if it has one.
    void unpin(std::uint64_t requestId, core::monotonic_time now);
    [[nodiscard]] std::size_t pins(const core::adapter_ref &adapter) const;

    /// Decides on orders for queued requests, given in service order. The request that starts a load gets a pin.
    [[nodiscard]] std::vector<slot_order> plan(std::span<const waiting_request> wanted, core::monotonic_time now);
    /// When plan() may decide more without another event; nothing when only an event can change it.
    [[nodiscard]] std::optional<core::monotonic_time> nextChance() const;

    /// A load has ended. Returns the requests that held pins for a load that failed; their pins are gone.
    [[nodiscard]] request_list loadEnded(const core::adapter_ref &adapter, load_result end, core::monotonic_time now);
    void unloadEnded(const core::adapter_ref &adapter, unload_result end, core::monotonic_time now);
    /// Until when a failed adapter isn't tried again.
    [[nodiscard]] std::optional<core::monotonic_time> backoff(const core::adapter_ref &adapter,
                                                              core::monotonic_time now) const;

    /// The engine says that an adapter thought loaded isn't. It takes no more pins and is free after its last one.
    void markNotLoaded(const core::adapter_ref &adapter);
    /// Takes over adapters that the engine has loaded from before this table began.
    void adopt(std::span<const core::adapter_ref> adapters, core::monotonic_time now);
    /// The engine started anew with nothing loaded. Returns all requests that held pins; none holds one any more.
    [[nodiscard]] request_list engineRestarted(core::monotonic_time now);

    /// Changes the number of slots. Occupied slots beyond a smaller number are freed as their pins end.
    void resize(std::size_t slots);
    [[nodiscard]] std::size_t slots() const;
    /// Adapters loaded or loading, sorted.
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
        /// Takes no more pins and leaves after its last one.
        bool retiring = false;
        /// Not loaded in truth: leaves without an order.
        bool gone = false;
        /// No unload is ordered before this time.
        core::monotonic_time unloadAfter{};
    };
    using slot_map = std::map<core::adapter_ref, slot>;

    class planner;

    request_list dropPins(const core::adapter_ref &adapter);
    void noteChance(core::monotonic_time when);

    slot_limits m_limits;
    eviction_policy &m_policy;
    load_budget &m_budget;
    load_backoff m_backoff;
    slot_map m_slots;
    std::unordered_map<std::uint64_t, core::adapter_ref> m_pins;
    std::optional<core::monotonic_time> m_nextChance;
};

} // namespace medlarrack::adapter_cache
