#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

namespace medlarrack::http::test {

/// A blocking TCP connection that sends and receives bytes as given, for input that no HTTP library would send.
class raw_connection
{
public:
    explicit raw_connection(std::uint16_t port);
    explicit raw_connection(asio::ip::tcp::socket socket);

    void send(std::string_view bytes);
    /// Receives until the text appears or the peer closes.
    std::string receiveUntil(std::string_view text);
    /// Receives until the peer closes.
    std::string receiveAll();
    void close();

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
};

/// A server that hands each connection to a script, one after the other, on a thread of its own.
class raw_server
{
public:
    explicit raw_server(std::function<void(asio::ip::tcp::socket)> script);
    ~raw_server();
    raw_server(const raw_server &) = delete;
    raw_server &operator=(const raw_server &) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::function<void(asio::ip::tcp::socket)> m_script;
    std::thread m_thread;
};

} // namespace medlarrack::http::test
