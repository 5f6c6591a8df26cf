#pragma once

#include "restinio_traits.hpp"

#include <asio/error_code.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace medlarrack::http::detail {

/// Accepts connections for RESTinio. Used in place of RESTinio's own server, which closes its acceptor on the thread
/// that ends it while another may accept: here the acceptor is used on its strand alone once it listens.
class listener : public std::enable_shared_from_this<listener>
{
public:
    using settings_type = restinio::server_settings_t<restinio_traits>;

    listener(asio::io_context &context, settings_type settings);

    /// Throws std::system_error.
    void open(const std::string &address, std::uint16_t port);
    [[nodiscard]] std::uint16_t port() const;
    /// No connection is accepted by the system from here on; may be called on any thread and more than once.
    void stop();

private:
    void accept();
    void onAccepted(const asio::error_code &error);
    void startConnection();

    asio::io_context &m_context;
    std::shared_ptr<restinio::impl::connection_factory_t<restinio_traits>> m_connections;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    std::optional<server_socket> m_incoming;
    std::uint16_t m_port = 0;
    std::atomic<int> m_socket;
};

} // namespace medlarrack::http::detail
