#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace medlarrack::http::detail {

class connection_link;

/// All open connections of a server by RESTinio's connection number. Its mutex is taken before that of a link.
class connection_table
{
public:
    using connection_id = std::uint64_t;

    explicit connection_table(std::size_t maxConnections);

    /// Adds a connection; false when there are too many or the table is stopped.
    bool add(connection_id id, const std::shared_ptr<connection_link> &link);
    void remove(connection_id id);
    [[nodiscard]] std::shared_ptr<connection_link> find(connection_id id) const;
    /// Breaks all connections off and takes no more.
    void stop();
    [[nodiscard]] bool stopped() const;
    /// Responses that begin from now on are the last ones of their connections.
    void closeAfterResponses();
    [[nodiscard]] bool closesAfterResponses() const;

private:
    std::size_t m_maxConnections;
    mutable std::mutex m_mutex;
    bool m_stopped = false;
    std::atomic<bool> m_closesAfterResponses{false};
    std::unordered_map<connection_id, std::shared_ptr<connection_link>> m_links;
};

} // namespace medlarrack::http::detail
