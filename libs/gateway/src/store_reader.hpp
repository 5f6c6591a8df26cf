#pragma once

#include <medlarrack/catalog/store_format.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/http1/call_client.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace medlarrack::gateway {

/// What a store reader passes to its handler.
struct store_update
{
    std::span<catalog::store_change> changes;
    /// Ids of all listed replicas after a full read; empty after a read of changes.
    std::optional<std::vector<std::string>> allReplicas;
    std::uint64_t revision = 0;
    /// First update after an outage of the store or its return from a backup: entries of replicas may be missing only
    /// because of it.
    bool afterOutage = false;
};

/// Reads the full content of the store, then polls it for changes, and reads all again when the store no longer has the
/// history since the last revision or has come back from a backup.
class store_reader
{
public:
    /// The format and the clock must outlive the reader. Longer answers than maxAnswerBytes count as failed calls.
    store_reader(asio::io_context &context, const asio::ip::tcp::endpoint &store, const catalog::store_format &format,
                 const core::clock &clock, std::chrono::milliseconds interval, std::size_t maxAnswerBytes,
                 std::function<void(const store_update &)> onUpdate);
    ~store_reader();

    void start();
    /// The data is known to be stale: polls earlier than the interval. Repeated requests back off to the interval,
    /// since each call costs the store.
    void refreshSoon();
    /// Time since the last successful call.
    [[nodiscard]] std::chrono::nanoseconds age() const;
    [[nodiscard]] std::uint64_t revision() const;
    /// Bytes of the bodies of all answers, also of those that didn't come whole.
    [[nodiscard]] std::uint64_t receivedBytes() const;
    /// The store's era; 0 before the first answer that has one.
    [[nodiscard]] std::uint64_t era() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::gateway
