#include "connection_table.hpp"

#include "connection_link.hpp"

namespace medlarrack::http::detail {

connection_table::connection_table(std::size_t maxConnections)
    : m_maxConnections(maxConnections)
{
}

bool connection_table::add(connection_id id, const std::shared_ptr<connection_link> &link)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopped || m_links.size() >= m_maxConnections) {
        return false;
    }
    m_links.emplace(id, link);
    return true;
}

void connection_table::remove(connection_id id)
{
    const std::lock_guard lock(m_mutex);
    m_links.erase(id);
}

std::shared_ptr<connection_link> connection_table::find(connection_id id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_links.find(id);
    return found == m_links.end() ? nullptr : found->second;
}

void connection_table::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    for (const auto &[id, link] : m_links) {
        link->breakOff();
        // Reported now: the io_context may be stopped before the connection's strand notices, and a callback that owns
        // its responder would then never be destroyed.
        link->markClosed();
    }
}

bool connection_table::stopped() const
{
    const std::lock_guard lock(m_mutex);
    return m_stopped;
}

void connection_table::closeAfterResponses()
{
    m_closesAfterResponses = true;
}

bool connection_table::closesAfterResponses() const
{
    return m_closesAfterResponses;
}

} // namespace medlarrack::http::detail
