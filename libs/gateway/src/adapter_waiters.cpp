#include "adapter_waiters.hpp"

#include <medlarrack/gateway/replica_choice.hpp>

namespace medlarrack::gateway {

void adapter_waiters::add(const replica &at, std::string_view adapter, std::weak_ptr<adapter_waiter> waiter)
{
    m_waiters[{at.record.id, std::string(adapter)}].push_back(std::move(waiter));
}

void adapter_waiters::engineChanged(const replica_table &table, const replica &at, core::monotonic_time now)
{
    if (!at.agent || !at.agent->engineUp || at.removed || at.record.leaving || at.awaitsRelisting(now)) {
        engineClosed(at);
        return;
    }
    std::vector<key> loaded = keysOf(at);
    std::erase_if(loaded, [&](const key &waited) {
        return !holdsAdapter(table, at, waited.second);
    });
    for (const key &waited : loaded) {
        notify(waited, &adapter_waiter::adapterLoaded);
    }
}

void adapter_waiters::engineClosed(const replica &at)
{
    for (const key &waited : keysOf(at)) {
        notify(waited, &adapter_waiter::engineLost);
    }
}

void adapter_waiters::notifyRemoved(const replica_table &table)
{
    std::vector<key> gone;
    for (const auto &[waited, waiters] : m_waiters) {
        const replica_ptr at = table.find(waited.first);
        if (at == nullptr || at->record.leaving) {
            gone.push_back(waited);
        }
    }
    for (const key &waited : gone) {
        notify(waited, &adapter_waiter::engineLost);
    }
}

std::vector<adapter_waiters::key> adapter_waiters::keysOf(const replica &at) const
{
    std::vector<key> found;
    for (auto it = m_waiters.lower_bound({at.record.id, ""}); it != m_waiters.end() && it->first.first == at.record.id;
         ++it) {
        found.push_back(it->first);
    }
    return found;
}

void adapter_waiters::notify(const key &waited, void (adapter_waiter::*callback)())
{
    const auto found = m_waiters.find(waited);
    if (found == m_waiters.end()) {
        return;
    }
    const auto waiters = std::move(found->second);
    m_waiters.erase(found);
    for (const auto &weak : waiters) {
        if (const auto waiter = weak.lock()) {
            ((*waiter).*callback)();
        }
    }
}

} // namespace medlarrack::gateway
