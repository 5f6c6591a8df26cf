#pragma once

#include <medlarrack/gateway/replica_table.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarrack::gateway {

/// Receives the outcome of waiting for an adapter to be loaded.
class adapter_waiter
{
public:
    adapter_waiter() = default;
    adapter_waiter(const adapter_waiter &) = delete;
    adapter_waiter &operator=(const adapter_waiter &) = delete;
    virtual ~adapter_waiter() = default;

    virtual void adapterLoaded() = 0;
    /// The engine no longer accepts requests; the adapter won't be loaded there.
    virtual void engineLost() = 0;
};

/// Registry of the requests that wait for adapters, by engine and adapter.
class adapter_waiters
{
public:
    void add(const replica &at, std::string_view adapter, std::weak_ptr<adapter_waiter> waiter);
    /// Notifies the waiters whose adapter the engine now holds, or all of its waiters if it is unavailable.
    void engineChanged(const replica_table &table, const replica &at, core::monotonic_time now);
    /// Notifies all waiters of an engine that no longer accepts requests.
    void engineClosed(const replica &at);
    /// Notifies the waiters whose engine is leaving or no longer listed.
    void notifyRemoved(const replica_table &table);

private:
    /// Replica id and adapter.
    using key = std::pair<std::string, std::string>;

    [[nodiscard]] std::vector<key> keysOf(const replica &at) const;
    /// Removes the waiters of a key and calls the given member function on each.
    void notify(const key &waited, void (adapter_waiter::*callback)());

    std::map<key, std::vector<std::weak_ptr<adapter_waiter>>> m_waiters;
};

} // namespace medlarrack::gateway
