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

/// What a store reader tells.
struct store_update
{
    std::span<catalog::store_change> changes;
    /// Ids of all replicas listed, after a whole read; nothing after changes alone.
    std::optional<std::vector<std::string>> allReplicas;
    std::uint64_t revision = 0;
    /// The first news after an outage: replicas may have vanished only because the store was away.
    bool afterOutage = false;
};

/// Reads all that the store publishes, then its changes at a steady pace, and all again when it has forgotten its
/// history.
class store_reader
{
public:
    /// Format and clock must outlive the reader.
    store_reader(asio::io_context &context, const asio::ip::tcp::endpoint &store, const catalog::store_format &format,
                 const core::clock &clock, std::chrono::milliseconds interval,
                 std::function<void(const store_update &)> onUpdate);
    ~store_reader();

    void start();
    /// What was read is known to be old: changes are read sooner than the pace says. Asked for often, it goes back to
    /// the pace, since each call costs the store.
    void refreshSoon();
    /// Time since the last good answer.
    [[nodiscard]] std::chrono::nanoseconds age() const;
    [[nodiscard]] std::uint64_t revision() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::gateway
