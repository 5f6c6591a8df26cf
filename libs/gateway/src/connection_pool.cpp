#include "connection_pool.hpp"

#include <asio/ip/address_v4.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::gateway {

namespace {

constexpr std::size_t maxHeadBytes = 32'768;
/// A replica that doesn't take a connection in this time is as good as gone: it takes 1 ms when it is well.
constexpr std::chrono::milliseconds connectTimeout{350};
/// Idle time if the replica doesn't say when it closes.
constexpr std::chrono::milliseconds defaultIdle{2'000};
/// Margin before the time at which the replica closes.
constexpr std::chrono::milliseconds closeMargin{700};
/// Connections kept to one replica; above the requests that one replica runs at once.
constexpr std::size_t maxIdle = 48;

std::chrono::nanoseconds idleLimit(const http1::client_connection &connection)
{
    const std::chrono::milliseconds stated = connection.keepAlive();
    return stated.count() == 0 ? defaultIdle : std::max(std::chrono::milliseconds(0), stated - closeMargin);
}

} // namespace

connection_pool::connection_pool(asio::io_context &context, const core::clock &clock)
    : m_context(context)
    , m_clock(clock)
{
}

connection_ptr connection_pool::take(const replica &to, std::chrono::milliseconds longestIdle)
{
    auto &idle = m_idle[to.record.id];
    const core::monotonic_time now = m_clock.now();
    while (!idle.empty()) {
        // The newest is the least likely to be closed from the other side.
        const idle_connection last = std::move(idle.back());
        idle.pop_back();
        const auto age = now - last.since;
        if (last.connection->isReusable() && age <= longestIdle && age <= idleLimit(*last.connection)) {
            return last.connection;
        }
    }
    auto made = std::make_shared<http1::client_connection>(m_context, maxHeadBytes);
    std::error_code ignored;
    made->connect({asio::ip::make_address_v4(to.record.address, ignored), to.record.port}, connectTimeout);
    return made;
}

void connection_pool::give(const replica &to, connection_ptr connection)
{
    auto &idle = m_idle[to.record.id];
    if (connection->isReusable() && !to.removed && !to.record.leaving && idle.size() < maxIdle) {
        idle.push_back({std::move(connection), m_clock.now()});
    }
}

void connection_pool::trim()
{
    const core::monotonic_time now = m_clock.now();
    for (auto &[id, idle] : m_idle) {
        std::erase_if(idle, [now](const idle_connection &one) {
            return !one.connection->isReusable() || now - one.since > idleLimit(*one.connection);
        });
    }
    std::erase_if(m_idle, [](const auto &entry) {
        return entry.second.empty();
    });
}

} // namespace medlarrack::gateway
