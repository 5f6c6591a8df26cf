#pragma once

#include <medlarrack/gateway/replica_table.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarrack::gateway {

/// A request that waits until an adapter is loaded.
class adapter_waiter
{
public:
    adapter_waiter() = default;
    adapter_waiter(const adapter_waiter &) = delete;
    adapter_waiter &operator=(const adapter_waiter &) = delete;
    virtual ~adapter_waiter() = default;

    virtual void adapterLoaded() = 0;
    /// It won't be loaded there.
    virtual void engineLost() = 0;
};

/// Requests that wait for adapters, by engine and adapter.
class adapter_waiters
{
public:
    void add(const replica &at, std::string_view adapter, std::weak_ptr<adapter_waiter> waiter);
    /// Wakes those whose adapter an engine holds now, or all of them if it is lost.
    void engineChanged(const replica_table &table, const replica &at, core::monotonic_time now);
    /// Wakes all that wait at an engine that takes no requests any more.
    void engineClosed(const replica &at);
    /// Wakes those whose engine has left the list.
    void notifyRemoved(const replica_table &table);

private:
    using key = std::pair<std::string, std::string>;

    [[nodiscard]] std::vector<key> waitedForAt(const replica &at) const;
    void wake(const key &waitsFor, void (adapter_waiter::*how)());

    std::map<key, std::vector<std::weak_ptr<adapter_waiter>>> m_waiters;
};

} // namespace medlarrack::gateway
