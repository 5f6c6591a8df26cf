#include "raw_peer.hpp"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <array>
#include <sys/socket.h>
#include <utility>

namespace medlarrack::http::test {

raw_connection::raw_connection(std::uint16_t port)
    : m_socket(m_context)
{
    m_socket.connect({asio::ip::address_v4::loopback(), port});
}

raw_connection::raw_connection(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
{
}

void raw_connection::send(std::string_view bytes)
{
    asio::error_code ignored;
    asio::write(m_socket, asio::buffer(bytes.data(), bytes.size()), ignored);
}

std::string raw_connection::receiveUntil(std::string_view text)
{
    std::string received;
    std::array<char, 4096> buffer{};
    asio::error_code error;
    while (!error && (text.empty() || received.find(text) == std::string::npos)) {
        const auto size = m_socket.read_some(asio::buffer(buffer), error);
        received.append(buffer.data(), size);
    }
    return received;
}

std::string raw_connection::receiveAll()
{
    return receiveUntil("");
}

void raw_connection::close()
{
    m_socket.close();
}

raw_server::raw_server(std::function<void(asio::ip::tcp::socket)> script)
    : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
    , m_script(std::move(script))
    , m_thread([this] {
        asio::error_code error;
        while (!error) {
            asio::ip::tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            if (!error) {
                m_script(std::move(socket));
            }
        }
    })
{
}

raw_server::~raw_server()
{
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_thread.join();
}

std::uint16_t raw_server::port() const
{
    return m_acceptor.local_endpoint().port();
}

} // namespace medlarrack::http::test
