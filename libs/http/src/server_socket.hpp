#pragma once

#include "connection_link.hpp"

#include <asio/any_io_executor.hpp>
#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/error.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <utility>

namespace medlarrack::http::detail {

/// Lets the parser's callbacks find the link of the connection whose bytes are being parsed on this thread.
class parsing_scope
{
public:
    explicit parsing_scope(connection_link *link)
        : m_before(std::exchange(current, link))
    {
    }
    parsing_scope(const parsing_scope &) = delete;
    parsing_scope &operator=(const parsing_scope &) = delete;
    ~parsing_scope()
    {
        current = m_before;
    }

    inline static thread_local connection_link *current = nullptr;

private:
    connection_link *m_before;
};

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

    /// Ends a read in progress with an error. On the connection's strand.
    void cancelRead();

    /// A connection whose body waits for room reads when there is some.
    template<typename Buffers, typename Handler>
    void async_read_some(const Buffers &buffers, Handler &&handler) // NOLINT(readability-identifier-naming)
    {
        const auto strand = asio::get_associated_executor(handler, m_socket.get_executor());
        auto read = [this, buffers, strand, handler = std::forward<Handler>(handler),
                     link = m_link](const asio::error_code &failure) mutable {
            if (failure) {
                handler(failure, std::size_t{0});
                return;
            }
            link->beginRead(*this, strand);
            m_socket.async_read_some(
                buffers,
                asio::bind_executor(
                    strand,
                    [link, handler = std::move(handler)](const asio::error_code &error, std::size_t size) mutable {
                        link->endRead();
                        const parsing_scope scope(link.get());
                        // The connection is to end with the answer that is due.
                        handler(link->isRefused() ? asio::error_code(asio::error::timed_out) : error, size);
                    }));
        };
        if (m_link->awaitsRoom()) {
            m_link->deferRead(std::move(read), strand);
        } else {
            read({});
        }
    }
    template<typename Buffers, typename Handler>
    void async_write_some(const Buffers &buffers, Handler &&handler) // NOLINT(readability-identifier-naming)
    {
        const auto executor = asio::get_associated_executor(handler, m_socket.get_executor());
        m_socket.async_write_some(buffers,
                                  asio::bind_executor(executor,
                                                      [link = m_link, handler = std::forward<Handler>(handler)](
                                                          const asio::error_code &error, std::size_t size) mutable {
                                                          if (size > 0) {
                                                              link->recordTaken();
                                                          }
                                                          // A request behind the response may be parsed next.
                                                          const parsing_scope scope(link.get());
                                                          handler(error, size);
                                                      }));
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
