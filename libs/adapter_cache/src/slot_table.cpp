#include <medlarrack/adapter_cache/slot_table.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace medlarrack::adapter_cache {
namespace {

/// Delay before an unload that wasn't confirmed is ordered again.
constexpr std::chrono::milliseconds unloadRetryDelay{250};

} // namespace

/// State of one call of plan().
class slot_table::planner
{
public:
    planner(slot_table &table, std::span<const waiting_request> waiting, core::monotonic_time now)
        : m_table(table)
        , m_waiting(waiting)
        , m_now(now)
    {
    }

    std::vector<slot_order> run()
    {
        m_table.m_nextPlanTime.reset();
        countSlots();
        retireSurplus();
        unloadRetired();
        for (const waiting_request &request : m_waiting) {
            if (m_planned.insert(request.adapter).second && !m_table.m_slots.contains(request.adapter)
                && !planLoad(request)) {
                break;
            }
        }
        return std::move(m_orders);
    }

private:
    /// Counts the slots that are being freed and collects the adapters that requests wait for.
    void countSlots()
    {
        for (const waiting_request &request : m_waiting) {
            m_requestedAdapters.insert(request.adapter);
        }
        for (const auto &[adapter, state] : m_table.m_slots) {
            if (state.state == slot_state::unloading || state.retiring) {
                ++m_slotsBeingFreed;
            }
        }
    }

    /// Retires adapters in excess of the slot limit, which may have been reduced.
    void retireSurplus()
    {
        const std::size_t occupied = m_table.m_slots.size();
        for (std::size_t remaining = occupied - m_slotsBeingFreed; remaining > m_table.m_limits.slots; --remaining) {
            if (!retireOne(/*includePinned=*/true)) {
                return;
            }
        }
    }

    void unloadRetired()
    {
        for (auto &[adapter, state] : m_table.m_slots) {
            if (state.state == slot_state::loaded && state.retiring && state.pins == 0) {
                orderUnload(adapter, state);
            }
        }
    }

    /// Decides on an adapter that isn't loaded. Returns false if no load can be decided on for the following ones
    /// either.
    bool planLoad(const waiting_request &request)
    {
        if (const auto retryTime = m_table.m_backoff.retryTime(request.adapter, m_now)) {
            m_table.updateNextPlanTime(*retryTime);
            return true;
        }
        const auto earliest = m_table.m_budget.earliestStart(m_now);
        if (earliest > m_now) {
            m_table.updateNextPlanTime(earliest);
            return false;
        }
        if (m_table.m_slots.size() < m_table.m_limits.slots) {
            return startLoad(request);
        }
        if (m_reservedSlots < m_slotsBeingFreed) {
            ++m_reservedSlots;
            return true;
        }
        return freeSlotFor(request);
    }

    bool startLoad(const waiting_request &request)
    {
        if (!m_table.m_budget.tryStart(m_now)) {
            return false;
        }
        slot &state = m_table.m_slots[request.adapter];
        state.lastUsed = m_now;
        state.loadStarted = m_now;
        state.pins = 1;
        m_table.m_pins.insert_or_assign(request.requestId, request.adapter);
        m_table.m_policy.onUse(request.adapter, m_now);
        m_orders.push_back({slot_order::kind::load, request.adapter});
        return true;
    }

    bool freeSlotFor(const waiting_request &request)
    {
        if (retireOne(/*includePinned=*/false)) {
            ++m_reservedSlots;
            return true;
        }
        const auto slotWaitEnds = request.waitingSince + m_table.m_limits.longestSlotWait;
        if (slotWaitEnds > m_now) {
            m_table.updateNextPlanTime(slotWaitEnds);
            return true;
        }
        if (retireOne(/*includePinned=*/true)) {
            ++m_reservedSlots;
        }
        return true;
    }

    /// Retires one adapter that is neither pinned nor waited for; with includePinned, any adapter, which is unloaded
    /// when its last pin is released.
    bool retireOne(bool includePinned)
    {
        std::vector<eviction_candidate> candidates;
        for (const auto &[adapter, state] : m_table.m_slots) {
            const bool idle = state.pins == 0 && !m_requestedAdapters.contains(adapter);
            if (state.state == slot_state::loaded && !state.retiring && (idle || includePinned)) {
                candidates.push_back({adapter, state.lastUsed, state.loadTime});
            }
        }
        if (candidates.empty()) {
            return false;
        }
        const std::size_t choice = std::min(m_table.m_policy.choose(candidates, m_now), candidates.size() - 1);
        const core::adapter_ref adapter = candidates[choice].adapter;
        slot &state = m_table.m_slots.at(adapter);
        state.retiring = true;
        ++m_slotsBeingFreed;
        if (state.pins == 0) {
            orderUnload(adapter, state);
        }
        return true;
    }

    void orderUnload(const core::adapter_ref &adapter, slot &state)
    {
        if (state.earliestUnload > m_now) {
            m_table.updateNextPlanTime(state.earliestUnload);
            return;
        }
        state.state = slot_state::unloading;
        m_orders.push_back({slot_order::kind::unload, adapter});
    }

    slot_table &m_table;
    std::span<const waiting_request> m_waiting;
    core::monotonic_time m_now;
    std::set<core::adapter_ref> m_requestedAdapters;
    std::set<core::adapter_ref> m_planned;
    /// Slots of adapters that are retiring or being unloaded.
    std::size_t m_slotsBeingFreed = 0;
    /// How many of these slots are reserved for adapters handled earlier in this call.
    std::size_t m_reservedSlots = 0;
    std::vector<slot_order> m_orders;
};

slot_table::slot_table(slot_limits limits, eviction_policy &policy, load_budget &budget, std::uint64_t seed)
    : m_limits(limits)
    , m_policy(policy)
    , m_budget(budget)
    , m_backoff(limits.firstBackoff, limits.longestBackoff, seed)
{
}

bool slot_table::isReady(const core::adapter_ref &adapter) const
{
    const auto found = m_slots.find(adapter);
    return found != m_slots.end() && found->second.state == slot_state::loaded && !found->second.retiring;
}

bool slot_table::isLoading(const core::adapter_ref &adapter) const
{
    const auto found = m_slots.find(adapter);
    return found != m_slots.end() && found->second.state == slot_state::loading;
}

bool slot_table::pin(std::uint64_t requestId, const core::adapter_ref &adapter, core::monotonic_time now)
{
    if (!isReady(adapter)) {
        return false;
    }
    slot &state = m_slots.at(adapter);
    state.lastUsed = now;
    const auto [existing, inserted] = m_pins.try_emplace(requestId, adapter);
    if (!inserted) {
        return existing->second == adapter;
    }
    ++state.pins;
    m_policy.onUse(adapter, now);
    return true;
}

void slot_table::unpin(std::uint64_t requestId, core::monotonic_time now)
{
    const auto found = m_pins.find(requestId);
    if (found == m_pins.end()) {
        return;
    }
    const auto position = m_slots.find(found->second);
    m_pins.erase(found);
    if (position == m_slots.end()) {
        return;
    }
    slot &state = position->second;
    --state.pins;
    state.lastUsed = now;
    if (state.notLoaded && state.pins == 0) {
        m_slots.erase(position);
    }
}

std::size_t slot_table::pins(const core::adapter_ref &adapter) const
{
    const auto found = m_slots.find(adapter);
    return found == m_slots.end() ? 0 : found->second.pins;
}

std::vector<slot_order> slot_table::plan(std::span<const waiting_request> waiting, core::monotonic_time now)
{
    return planner(*this, waiting, now).run();
}

std::optional<core::monotonic_time> slot_table::nextPlanTime() const
{
    return m_nextPlanTime;
}

request_list slot_table::loadEnded(const core::adapter_ref &adapter, load_result end, core::monotonic_time now)
{
    const auto found = m_slots.find(adapter);
    if (found == m_slots.end() || found->second.state != slot_state::loading) {
        // The engine has restarted since, and engineRestarted() returned the load to the budget.
        return {};
    }
    m_budget.loadEnded(now);
    slot &state = found->second;
    if (end == load_result::loaded) {
        state.state = slot_state::loaded;
        state.loadTime = now - state.loadStarted;
        state.lastUsed = now;
        m_backoff.recordSuccess(adapter);
        return {};
    }
    if (end != load_result::not_ordered) {
        m_backoff.recordFailure(adapter, now);
    }
    request_list waiting = dropPins(adapter);
    if (end != load_result::unknown) {
        m_slots.erase(found);
        return waiting;
    }
    state.state = slot_state::loaded;
    state.retiring = true;
    return waiting;
}

void slot_table::unloadEnded(const core::adapter_ref &adapter, unload_result end, core::monotonic_time now)
{
    const auto found = m_slots.find(adapter);
    if (found == m_slots.end() || found->second.state != slot_state::unloading) {
        return;
    }
    if (end == unload_result::unloaded) {
        m_slots.erase(found);
        return;
    }
    slot &state = found->second;
    state.state = slot_state::loaded;
    if (end == unload_result::not_ordered) {
        state.retiring = false;
        return;
    }
    state.lastUsed = now;
    state.earliestUnload = now + unloadRetryDelay;
    // An adapter in use is still loaded and can be pinned again. Without an answer its state is unknown, so it remains
    // retiring and is unloaded again.
    state.retiring = end == unload_result::unknown;
}

std::optional<core::monotonic_time> slot_table::backoff(const core::adapter_ref &adapter,
                                                        core::monotonic_time now) const
{
    return m_backoff.retryTime(adapter, now);
}

void slot_table::markNotLoaded(const core::adapter_ref &adapter)
{
    const auto found = m_slots.find(adapter);
    if (found == m_slots.end() || found->second.state != slot_state::loaded) {
        return;
    }
    found->second.retiring = true;
    found->second.notLoaded = true;
    if (found->second.pins == 0) {
        m_slots.erase(found);
    }
}

void slot_table::adopt(std::span<const core::adapter_ref> adapters, core::monotonic_time now)
{
    for (const core::adapter_ref &adapter : adapters) {
        const auto [position, inserted] = m_slots.try_emplace(adapter);
        if (inserted) {
            position->second.state = slot_state::loaded;
            position->second.lastUsed = now;
        }
    }
}

request_list slot_table::engineRestarted(core::monotonic_time now)
{
    request_list pinned;
    pinned.reserve(m_pins.size());
    for (const auto &[request, adapter] : m_pins) {
        pinned.push_back(request);
    }
    std::sort(pinned.begin(), pinned.end());
    for (const auto &[adapter, state] : m_slots) {
        if (state.state == slot_state::loading) {
            m_budget.loadEnded(now);
        }
    }
    m_pins.clear();
    m_slots.clear();
    m_backoff.clear();
    return pinned;
}

void slot_table::resize(std::size_t slots)
{
    m_limits.slots = slots;
}

std::size_t slot_table::slots() const
{
    return m_limits.slots;
}

std::vector<core::adapter_ref> slot_table::adapters() const
{
    std::vector<core::adapter_ref> result;
    for (const auto &[adapter, state] : m_slots) {
        if (state.state != slot_state::unloading && !state.retiring) {
            result.push_back(adapter);
        }
    }
    return result;
}

request_list slot_table::dropPins(const core::adapter_ref &adapter)
{
    request_list dropped;
    for (auto pin = m_pins.begin(); pin != m_pins.end();) {
        if (pin->second == adapter) {
            dropped.push_back(pin->first);
            pin = m_pins.erase(pin);
        } else {
            ++pin;
        }
    }
    m_slots.at(adapter).pins = 0;
    std::sort(dropped.begin(), dropped.end());
    return dropped;
}

void slot_table::updateNextPlanTime(core::monotonic_time when)
{
    m_nextPlanTime = std::min(m_nextPlanTime.value_or(when), when);
}

} // namespace medlarrack::adapter_cache
