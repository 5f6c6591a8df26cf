#include <medlarrack/adapter_cache/slot_table.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace medlarrack::adapter_cache {
namespace {

/// Wait before an unload is ordered again.
constexpr std::chrono::milliseconds unloadRetry{250};

} // namespace

/// One run of plan().
class slot_table::planner
{
public:
    planner(slot_table &table, std::span<const waiting_request> wanted, core::monotonic_time now)
        : m_table(table)
        , m_wanted(wanted)
        , m_now(now)
    {
    }

    std::vector<slot_order> run()
    {
        m_table.m_nextChance.reset();
        collect();
        retireSurplus();
        unloadRetired();
        for (const waiting_request &want : m_wanted) {
            if (m_seen.insert(want.adapter).second && !m_table.m_slots.contains(want.adapter) && !serve(want)) {
                break;
            }
        }
        return std::move(m_orders);
    }

private:
    /// Counts the slots and notes which adapters are wanted.
    void collect()
    {
        for (const waiting_request &want : m_wanted) {
            m_wantedAdapters.insert(want.adapter);
        }
        for (const auto &[adapter, state] : m_table.m_slots) {
            if (state.state == slot_state::unloading || state.retiring) {
                ++m_leaving;
            }
        }
    }

    /// After a reduction of slots, makes adapters leave that have no place any more.
    void retireSurplus()
    {
        const std::size_t occupied = m_table.m_slots.size();
        for (std::size_t staying = occupied - m_leaving; staying > m_table.m_limits.slots; --staying) {
            if (!retireOne(/*pinnedToo=*/true)) {
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

    /// Decides for one absent adapter; false when nothing can be decided for those after it either.
    bool serve(const waiting_request &want)
    {
        if (const auto until = m_table.m_backoff.until(want.adapter, m_now)) {
            m_table.noteChance(*until);
            return true;
        }
        const auto earliest = m_table.m_budget.earliest(m_now);
        if (earliest > m_now) {
            m_table.noteChance(earliest);
            return false;
        }
        if (m_table.m_slots.size() < m_table.m_limits.slots) {
            return startLoad(want);
        }
        if (m_leavingTaken < m_leaving) {
            ++m_leavingTaken;
            return true;
        }
        return freeSlotFor(want);
    }

    bool startLoad(const waiting_request &want)
    {
        if (!m_table.m_budget.tryStart(m_now)) {
            return false;
        }
        slot &state = m_table.m_slots[want.adapter];
        state.lastUsed = m_now;
        state.loadStarted = m_now;
        state.pins = 1;
        m_table.m_pins.insert_or_assign(want.requestId, want.adapter);
        m_table.m_policy.onUse(want.adapter, m_now);
        m_orders.push_back({slot_order::kind::load, want.adapter});
        return true;
    }

    bool freeSlotFor(const waiting_request &want)
    {
        if (retireOne(/*pinnedToo=*/false)) {
            ++m_leavingTaken;
            return true;
        }
        const auto patienceEnds = want.waitingSince + m_table.m_limits.longestSlotWait;
        if (patienceEnds > m_now) {
            m_table.noteChance(patienceEnds);
            return true;
        }
        if (retireOne(/*pinnedToo=*/true)) {
            ++m_leavingTaken;
        }
        return true;
    }

    /// Makes one adapter leave: one that nobody uses or waits for, or with pinnedToo any, once its pins have ended.
    bool retireOne(bool pinnedToo)
    {
        std::vector<eviction_candidate> candidates;
        for (const auto &[adapter, state] : m_table.m_slots) {
            const bool idle = state.pins == 0 && !m_wantedAdapters.contains(adapter);
            if (state.state == slot_state::loaded && !state.retiring && (idle || pinnedToo)) {
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
        ++m_leaving;
        if (state.pins == 0) {
            orderUnload(adapter, state);
        }
        return true;
    }

    void orderUnload(const core::adapter_ref &adapter, slot &state)
    {
        if (state.unloadAfter > m_now) {
            m_table.noteChance(state.unloadAfter);
            return;
        }
        state.state = slot_state::unloading;
        m_orders.push_back({slot_order::kind::unload, adapter});
    }

    slot_table &m_table;
    std::span<const waiting_request> m_wanted;
    core::monotonic_time m_now;
    std::set<core::adapter_ref> m_wantedAdapters;
    std::set<core::adapter_ref> m_seen;
    /// Slots that are becoming free, and how many of them a wanted adapter already counts on.
    std::size_t m_leaving = 0;
    std::size_t m_leavingTaken = 0;
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
    const auto [place, fresh] = m_pins.try_emplace(requestId, adapter);
    if (!fresh) {
        return place->second == adapter;
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
    const auto place = m_slots.find(found->second);
    m_pins.erase(found);
    if (place == m_slots.end()) {
        return;
    }
    slot &state = place->second;
    --state.pins;
    state.lastUsed = now;
    if (state.gone && state.pins == 0) {
        m_slots.erase(place);
    }
}

std::size_t slot_table::pins(const core::adapter_ref &adapter) const
{
    const auto found = m_slots.find(adapter);
    return found == m_slots.end() ? 0 : found->second.pins;
}

std::vector<slot_order> slot_table::plan(std::span<const waiting_request> wanted, core::monotonic_time now)
{
    return planner(*this, wanted, now).run();
}

std::optional<core::monotonic_time> slot_table::nextChance() const
{
    return m_nextChance;
}

request_list slot_table::loadEnded(const core::adapter_ref &adapter, load_result end, core::monotonic_time now)
{
    const auto found = m_slots.find(adapter);
    if (found == m_slots.end() || found->second.state != slot_state::loading) {
        // The engine restarted meanwhile; the right to load was given back then.
        return {};
    }
    m_budget.ended(now);
    slot &state = found->second;
    if (end == load_result::loaded) {
        state.state = slot_state::loaded;
        state.loadTime = now - state.loadStarted;
        state.lastUsed = now;
        m_backoff.succeeded(adapter);
        return {};
    }
    if (end != load_result::not_ordered) {
        m_backoff.failed(adapter, now);
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
    state.unloadAfter = now + unloadRetry;
    // Still in use there, so loaded: it may serve again. Without an answer nothing is known, so it still has to leave.
    state.retiring = end == unload_result::unknown;
}

std::optional<core::monotonic_time> slot_table::backoff(const core::adapter_ref &adapter,
                                                        core::monotonic_time now) const
{
    return m_backoff.until(adapter, now);
}

void slot_table::markNotLoaded(const core::adapter_ref &adapter)
{
    const auto found = m_slots.find(adapter);
    if (found == m_slots.end() || found->second.state != slot_state::loaded) {
        return;
    }
    found->second.retiring = true;
    found->second.gone = true;
    if (found->second.pins == 0) {
        m_slots.erase(found);
    }
}

void slot_table::adopt(std::span<const core::adapter_ref> adapters, core::monotonic_time now)
{
    for (const core::adapter_ref &adapter : adapters) {
        const auto [place, fresh] = m_slots.try_emplace(adapter);
        if (fresh) {
            place->second.state = slot_state::loaded;
            place->second.lastUsed = now;
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
            m_budget.ended(now);
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
    std::vector<core::adapter_ref> held;
    for (const auto &[adapter, state] : m_slots) {
        if (state.state != slot_state::unloading && !state.retiring) {
            held.push_back(adapter);
        }
    }
    return held;
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

void slot_table::noteChance(core::monotonic_time when)
{
    m_nextChance = std::min(m_nextChance.value_or(when), when);
}

} // namespace medlarrack::adapter_cache
