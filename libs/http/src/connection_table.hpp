#pragma once

#include <medlarrack/core/byte_budget.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_map>

namespace medlarrack::http::detail {

class connection_link;

/// All open connections of a server by RESTinio's connection number. Its mutex is taken before that of a link.
class connection_table
{
public:
    using connection_id = std::uint64_t;

    /// Without a budget, memory is not relieved.
    connection_table(std::size_t maxConnections, std::shared_ptr<core::byte_budget> budget);

    /// Adds a connection; false when there are too many and none makes room, or the table is stopped.
    bool add(connection_id id, const std::shared_ptr<connection_link> &link);
    void remove(connection_id id);
    [[nodiscard]] std::shared_ptr<connection_link> find(connection_id id) const;
    /// Breaks all connections off and takes no more.
    void stop();
    [[nodiscard]] bool stopped() const;
    /// Ends what holds memory without progress while there is too little of it, at most one request and one response.
    void relieveMemory(std::chrono::steady_clock::time_point now);
    /// Responses that begin from now on are the last ones of their connections.
    void closeAfterResponses();
    [[nodiscard]] bool closesAfterResponses() const;

private:
    /// The oldest connection that has sent no whole head for a while. Called with the mutex held.
    [[nodiscard]] std::shared_ptr<connection_link> findIdle() const;
    void recordNoRoom(std::string_view why, const connection_link &link) const;

    std::size_t m_maxConnections;
    std::shared_ptr<core::byte_budget> m_budget;
    mutable std::mutex m_mutex;
    bool m_stopped = false;
    std::atomic<bool> m_closesAfterResponses{false};
    std::unordered_map<connection_id, std::shared_ptr<connection_link>> m_links;
};

} // namespace medlarrack::http::detail
