#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <utility>

namespace medlarrack::http::detail {

class connection_link;

/// The socket type that RESTinio is given. It adds what RESTinio lacks: a link by which other threads break the
/// connection off, and an error answer in place of a silent close when a request can't be parsed or is too large.
class server_socket
{
public:
    using socket_type = asio::ip::tcp::socket;
    using executor_type = socket_type::executor_type;

    explicit server_socket(asio::io_context &context);
    server_socket(server_socket &&other) noexcept;
    server_socket &operator=(server_socket &&) = delete;
    server_socket(const server_socket &) = delete;
    server_socket &operator=(const server_socket &) = delete;
    ~server_socket();

    [[nodiscard]] socket_type &lowest_layer() // NOLINT(readability-identifier-naming): called by RESTinio
    {
        return m_socket;
    }
    [[nodiscard]] executor_type get_executor() // NOLINT(readability-identifier-naming): called by Asio
    {
        return m_socket.get_executor();
    }
    [[nodiscard]] bool is_open() const // NOLINT(readability-identifier-naming): called by RESTinio
    {
        return m_socket.is_open();
    }

    /// Makes the link once the connection is accepted.
    const std::shared_ptr<connection_link> &makeLink();

    void cancel(asio::error_code &error);
    /// Called by RESTinio just before close(). Sends the error answer that is due, if any.
    void shutdown(socket_type::shutdown_type what, asio::error_code &error);
    void close();

    template<typename Buffers, typename Handler>
    auto async_read_some(const Buffers &buffers, Handler &&handler) // NOLINT(readability-identifier-naming)
    {
        return m_socket.async_read_some(buffers, std::forward<Handler>(handler));
    }
    template<typename Buffers, typename Handler>
    auto async_write_some(const Buffers &buffers, Handler &&handler) // NOLINT(readability-identifier-naming)
    {
        return m_socket.async_write_some(buffers, std::forward<Handler>(handler));
    }

private:
    void answerError(int status);

    asio::io_context &m_context;
    socket_type m_socket;
    std::shared_ptr<connection_link> m_link;
};

/// Sets the status that the next shutdown() on this thread answers with. RESTinio reports a parser's error to its log
/// and then, in the same call, shuts the socket down; the log is the only place that learns the error.
void setDueErrorStatus(int status);

} // namespace medlarrack::http::detail
