#include "connection_pool.hpp"

#include <asio/ip/address_v4.hpp>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace medlarrack::gateway {

namespace {

/// A replica that has not accepted within this time is treated as unreachable; a healthy one takes 1 ms.
constexpr std::chrono::milliseconds connectTimeout{350};
/// Idle time if the replica states no keep-alive time-out.
constexpr std::chrono::milliseconds defaultIdleTime{2'000};
/// Margin before the replica's keep-alive time-out, so that no request is sent on a connection that it is closing.
constexpr std::chrono::milliseconds closeMargin{700};
/// Idle connections kept per replica; more than the requests that one replica runs at once.
constexpr std::size_t maxIdlePerReplica = 48;

std::chrono::nanoseconds allowedIdleTime(const http1::client_connection &connection)
{
    const std::chrono::milliseconds keepAlive = connection.keepAlive();
    return keepAlive.count() == 0 ? defaultIdleTime : std::max(std::chrono::milliseconds(0), keepAlive - closeMargin);
}

} // namespace

connection_pool::connection_pool(asio::io_context &context, const core::clock &clock)
    : m_context(context)
    , m_clock(clock)
{
}

connection_ptr connection_pool::acquire(const replica &to, std::chrono::milliseconds maxIdleTime,
                                        std::span<const std::weak_ptr<http1::client_connection>> avoided)
{
    auto &idle = m_idleConnections[to.record.id];
    const core::monotonic_time now = m_clock.now();
    // The newest is the least likely to have been closed by the replica.
    for (std::size_t index = idle.size(); index-- > 0;) {
        const bool isAvoided =
            std::any_of(avoided.begin(), avoided.end(), [&candidate = idle[index].connection](const auto &one) {
                return one.lock() == candidate;
            });
        if (isAvoided) {
            continue;
        }
        const idle_connection newest = std::move(idle[index]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index));
        const auto age = now - newest.idleSince;
        // Unread bytes would be taken for the answer to the next request, and an unread end would lose it.
        if (newest.connection->isReusable() && age <= maxIdleTime && age <= allowedIdleTime(*newest.connection)
            && !newest.connection->hasUnreadInput()) {
            return newest.connection;
        }
    }
    return connect(to);
}

connection_ptr connection_pool::connect(const replica &to)
{
    auto created = std::make_shared<http1::client_connection>(m_context);
    std::error_code ignored;
    created->connect({asio::ip::make_address_v4(to.record.address, ignored), to.record.port}, connectTimeout);
    return created;
}

void connection_pool::release(const replica &to, connection_ptr connection)
{
    auto &idle = m_idleConnections[to.record.id];
    if (connection->isReusable() && !to.removed && !to.record.leaving && idle.size() < maxIdlePerReplica) {
        idle.push_back({std::move(connection), m_clock.now()});
    }
}

void connection_pool::closeExpired()
{
    const core::monotonic_time now = m_clock.now();
    for (auto &[id, idle] : m_idleConnections) {
        std::erase_if(idle, [now](const idle_connection &kept) {
            return !kept.connection->isReusable() || now - kept.idleSince > allowedIdleTime(*kept.connection);
        });
    }
    std::erase_if(m_idleConnections, [](const auto &entry) {
        return entry.second.empty();
    });
}

} // namespace medlarrack::gateway
