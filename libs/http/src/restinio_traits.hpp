#pragma once

#include "connection_link.hpp"
#include "connection_table.hpp"
#include "server_socket.hpp"

#include <restinio/all.hpp>

#include <memory>
#include <string>
#include <utility>

namespace medlarrack::http::detail {

/// The link of the connection that RESTinio is starting on this thread; see connection_listener.
inline thread_local std::shared_ptr<connection_link> startingLink;

/// Found by RESTinio for its socket type; runs when a connection starts.
template<typename Connection, typename StartRead, typename Failed>
void prepare_connection_and_start_read( // NOLINT(readability-identifier-naming): called by RESTinio
    server_socket &socket, Connection & /*connection*/, StartRead startRead, Failed /*failed*/)
{
    startingLink = socket.makeLink();
    startRead();
    startingLink.reset();
}

inline restinio::impl::tls_socket_t *
make_tls_socket_pointer_for_state_listener(server_socket & /*socket*/) noexcept // NOLINT: called by RESTinio
{
    return nullptr;
}

/// Keeps the table of connections.
class connection_listener
{
public:
    explicit connection_listener(std::shared_ptr<connection_table> table)
        : m_table(std::move(table))
    {
    }

    void state_changed(const restinio::connection_state::notice_t &notice) noexcept // NOLINT: called by RESTinio
    {
        const auto cause = notice.cause();
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(cause)) {
            if (!m_table->add(notice.connection_id(), startingLink)) {
                startingLink->breakOff();
            }
        } else {
            m_table->remove(notice.connection_id());
        }
    }

private:
    std::shared_ptr<connection_table> m_table;
};

/// Learns from RESTinio's log why a request could not be read.
class parse_error_logger
{
public:
    template<typename Builder>
    void trace(Builder && /*builder*/) const noexcept
    {
    }
    template<typename Builder>
    void info(Builder && /*builder*/) const noexcept
    {
    }
    template<typename Builder>
    void warn(Builder && /*builder*/) const noexcept
    {
    }
    template<typename Builder>
    void error(Builder &&builder) const
    {
        const std::string text = builder();
        if (text.find("parser error HPE_") == std::string::npos) {
            return;
        }
        const auto mentions = [&text](const char *what) {
            return text.find(what) != std::string::npos;
        };
        // The body's length is checked at the end of the head when it is announced.
        if (mentions("HPE_CB_body") || mentions("HPE_CB_headers_complete")) {
            setDueErrorStatus(413);
        } else if (mentions("HPE_HEADER_OVERFLOW") || mentions("HPE_CB_header_") || mentions("HPE_CB_url")) {
            setDueErrorStatus(431);
        } else {
            setDueErrorStatus(400);
        }
    }
};

/// RESTinio with a strand per connection, our socket and our observers.
struct restinio_traits
    : restinio::traits_t<restinio::asio_timer_manager_t, parse_error_logger,
                         restinio::details::autodetect_request_handler_type, restinio::default_strand_t, server_socket>
{
    using connection_state_listener_t = connection_listener;
};

} // namespace medlarrack::http::detail
