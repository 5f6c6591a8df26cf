#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/gateway/replica.hpp>
#include <medlarrack/http1/client_connection.hpp>

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarrack::gateway {

using connection_ptr = std::shared_ptr<http1::client_connection>;

/// Kept connections to replicas.
class connection_pool
{
public:
    connection_pool(asio::io_context &context, const core::clock &clock);

    /// A connection to a replica: a kept one that has been idle for no longer than given, else a new one.
    [[nodiscard]] connection_ptr take(const replica &to, std::chrono::milliseconds longestIdle);
    /// Keeps a connection whose call is complete, if it can carry another.
    void give(const replica &to, connection_ptr connection);
    /// Closes connections that have been idle too long or whose replica is gone.
    void trim();

private:
    struct idle_connection
    {
        connection_ptr connection;
        core::monotonic_time since{};
    };

    asio::io_context &m_context;
    const core::clock &m_clock;
    std::map<std::string, std::vector<idle_connection>, std::less<>> m_idle;
};

} // namespace medlarrack::gateway
