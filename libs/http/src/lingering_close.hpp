#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <array>
#include <cstddef>
#include <memory>

namespace medlarrack::http::detail {

/// Closes a socket after an error answer: ends its own direction and discards what the peer still sends, for a bounded
/// time. Closing at once would reset the connection, and the peer could lose the answer.
class lingering_close : public std::enable_shared_from_this<lingering_close>
{
public:
    explicit lingering_close(asio::ip::tcp::socket socket);
    void start();

private:
    void discard();

    asio::ip::tcp::socket m_socket;
    asio::strand<asio::ip::tcp::socket::executor_type> m_strand;
    asio::steady_timer m_timer;
    std::array<char, 16384> m_buffer{};
};

} // namespace medlarrack::http::detail
