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
    std::vector<key> loaded = waitedForAt(at);
    std::erase_if(loaded, [&](const key &one) {
        return !holdsAdapter(table, at, one.second);
    });
    for (const key &one : loaded) {
        wake(one, &adapter_waiter::adapterLoaded);
    }
}

void adapter_waiters::engineClosed(const replica &at)
{
    for (const key &one : waitedForAt(at)) {
        wake(one, &adapter_waiter::engineLost);
    }
}

void adapter_waiters::notifyRemoved(const replica_table &table)
{
    std::vector<key> gone;
    for (const auto &[waitsFor, waiters] : m_waiters) {
        const replica_ptr at = table.find(waitsFor.first);
        if (at == nullptr || at->record.leaving) {
            gone.push_back(waitsFor);
        }
    }
    for (const key &one : gone) {
        wake(one, &adapter_waiter::engineLost);
    }
}

std::vector<adapter_waiters::key> adapter_waiters::waitedForAt(const replica &at) const
{
    std::vector<key> found;
    for (auto entry = m_waiters.lower_bound({at.record.id, ""});
         entry != m_waiters.end() && entry->first.first == at.record.id; ++entry) {
        found.push_back(entry->first);
    }
    return found;
}

void adapter_waiters::wake(const key &waitsFor, void (adapter_waiter::*how)())
{
    const auto found = m_waiters.find(waitsFor);
    if (found == m_waiters.end()) {
        return;
    }
    const auto waiters = std::move(found->second);
    m_waiters.erase(found);
    for (const auto &weak : waiters) {
        if (const auto waiter = weak.lock()) {
            ((*waiter).*how)();
        }
    }
}

} // namespace medlarrack::gateway
