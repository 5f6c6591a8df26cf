#include "connection_link.hpp"

#include <asio/post.hpp>

#include <sys/socket.h>
#include <utility>

namespace medlarrack::http::detail {

namespace {

constexpr int noSocket = -1;

} // namespace

connection_link::connection_link(asio::io_context::executor_type executor, int socket)
    : m_executor(std::move(executor))
    , m_socket(socket)
{
}

void connection_link::breakOff()
{
    const std::lock_guard lock(m_mutex);
    if (m_socket != noSocket) {
        ::shutdown(m_socket, SHUT_RDWR);
    }
}

void connection_link::markClosed()
{
    std::map<watch_id, std::function<void()>> watchers;
    {
        const std::lock_guard lock(m_mutex);
        m_socket = noSocket;
        m_closed = true;
        watchers.swap(m_watchers);
    }
    for (auto &[id, callback] : watchers) {
        asio::post(m_executor, std::move(callback));
    }
}

void connection_link::forget()
{
    const std::lock_guard lock(m_mutex);
    m_socket = noSocket;
    m_closed = true;
}

connection_link::watch_id connection_link::watch(std::function<void()> callback)
{
    const std::lock_guard lock(m_mutex);
    const watch_id id = ++m_lastWatch;
    if (m_closed) {
        asio::post(m_executor, std::move(callback));
    } else {
        m_watchers.emplace(id, std::move(callback));
    }
    return id;
}

void connection_link::unwatch(watch_id id)
{
    std::function<void()> dropped;
    const std::lock_guard lock(m_mutex);
    const auto found = m_watchers.find(id);
    if (found != m_watchers.end()) {
        // Destroyed after the mutex is released, since it may own anything.
        dropped = std::move(found->second);
        m_watchers.erase(found);
    }
}

bool connection_link::addBuffered(std::size_t bytes, std::size_t limit)
{
    const std::lock_guard lock(m_mutex);
    m_buffered += bytes;
    return m_buffered <= limit;
}

void connection_link::removeBuffered(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_buffered -= bytes;
}

void connection_link::requestStarted()
{
    const std::lock_guard lock(m_mutex);
    ++m_requests;
}

void connection_link::requestFinished()
{
    const std::lock_guard lock(m_mutex);
    --m_requests;
}

bool connection_link::busy() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests != 0;
}

} // namespace medlarrack::http::detail
