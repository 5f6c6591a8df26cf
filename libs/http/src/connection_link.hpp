#pragma once

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace medlarrack::http::detail {

/// Handle to one open connection of a server, usable from any thread while the connection's own state is reached on its
/// strand only. Its mutex is taken last; no callback runs under it.
class connection_link
{
public:
    using watch_id = std::uint64_t;

    connection_link(asio::io_context::executor_type executor, int socket);
    connection_link(const connection_link &) = delete;
    connection_link &operator=(const connection_link &) = delete;

    /// Shuts the socket down in both directions; the connection's strand then closes it.
    void breakOff();
    /// The socket is about to be closed: forgets it and posts the callbacks of all watchers.
    void markClosed();
    /// As markClosed(), without callbacks; for the end of the io_context.
    void forget();

    /// Posts the callback once when the connection closes, at once if it is closed.
    watch_id watch(std::function<void()> callback);
    void unwatch(watch_id id);

    /// Counts bytes handed over for writing. False when that makes more than the limit.
    bool addBuffered(std::size_t bytes, std::size_t limit);
    void removeBuffered(std::size_t bytes);

    /// A request is in progress from its arrival until its answer is written.
    void requestStarted();
    void requestFinished();
    [[nodiscard]] bool busy() const;

private:
    asio::io_context::executor_type m_executor;
    mutable std::mutex m_mutex;
    int m_socket;
    bool m_closed = false;
    std::map<watch_id, std::function<void()>> m_watchers;
    watch_id m_lastWatch = 0;
    std::size_t m_buffered = 0;
    std::size_t m_requests = 0;
};

} // namespace medlarrack::http::detail
