#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/gateway/replica.hpp>
#include <medlarrack/http1/client_connection.hpp>

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace medlarrack::gateway {

using connection_ptr = std::shared_ptr<http1::client_connection>;

/// A connection to a replica, and when it was made.
struct pooled_connection
{
    connection_ptr connection;
    connection_times times;
};

/// Keep-alive connections to replicas.
class connection_pool
{
public:
    connection_pool(asio::io_context &context, const core::clock &clock);

    /// Returns an idle connection to the replica that has been idle for at most the given time and isn't one of those
    /// to avoid, or else a new one.
    [[nodiscard]] pooled_connection acquire(const replica &to, std::chrono::milliseconds maxIdleTime,
                                            std::span<const std::weak_ptr<http1::client_connection>> avoided);
    /// Returns an idle connection that the listed start of the replica has certainly accepted; none if there is none.
    [[nodiscard]] std::optional<pooled_connection>
    acquireProven(const replica &to, std::chrono::milliseconds maxIdleTime,
                  std::span<const std::weak_ptr<http1::client_connection>> avoided);
    /// Whether acquireProven may find a connection.
    [[nodiscard]] bool hasProven(const replica &to) const;
    /// Returns a new connection to the replica.
    [[nodiscard]] pooled_connection connect(const replica &to);
    /// Returns a connection to the pool after a complete call; drops it if it can't be reused.
    void release(const replica &to, pooled_connection connection);
    /// Closes idle connections that have passed their idle time or can't be reused any more.
    void closeExpired();

private:
    struct idle_connection
    {
        pooled_connection kept;
        core::monotonic_time idleSince{};
    };

    [[nodiscard]] std::optional<pooled_connection>
    takeIdle(const replica &to, std::chrono::milliseconds maxIdleTime,
             std::span<const std::weak_ptr<http1::client_connection>> avoided, bool provenOnly);

    asio::io_context &m_context;
    const core::clock &m_clock;
    std::map<std::string, std::vector<idle_connection>, std::less<>> m_idleConnections;
};

} // namespace medlarrack::gateway
