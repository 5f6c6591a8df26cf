#pragma once

#include <medlarrack/peer/client.hpp>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <string>
#include <string_view>

namespace medlarrack::peer::tests {

/// A blocking socket to a server, for input that no client of ours would send.
class raw_peer
{
public:
    explicit raw_peer(const endpoint &to)
    {
        m_socket.connect({asio::ip::make_address(to.address), to.port});
    }

    void send(std::string_view bytes)
    {
        asio::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    /// Reads until the server closes the connection.
    std::string readToEnd()
    {
        std::string bytes;
        asio::error_code end;
        asio::read(m_socket, asio::dynamic_buffer(bytes), end);
        return bytes;
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket{m_context};
};

} // namespace medlarrack::peer::tests
