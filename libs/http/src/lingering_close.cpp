#include "lingering_close.hpp"

#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/dispatch.hpp>

#include <chrono>
#include <utility>

namespace medlarrack::http::detail {

namespace {

constexpr std::chrono::milliseconds maxLingerTime{1'000};

} // namespace

lingering_close::lingering_close(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
    , m_strand(m_socket.get_executor())
    , m_timer(m_strand)
{
}

void lingering_close::start()
{
    asio::dispatch(m_strand, [self = shared_from_this()] {
        asio::error_code ignored;
        self->m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        self->m_timer.expires_after(maxLingerTime);
        self->m_timer.async_wait([self](const asio::error_code &) {
            asio::error_code alsoIgnored;
            self->m_socket.close(alsoIgnored);
        });
        self->discard();
    });
}

void lingering_close::discard()
{
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        asio::bind_executor(m_strand, [self = shared_from_this()](const asio::error_code &error, std::size_t) {
            if (error) {
                self->m_timer.cancel();
            } else {
                self->discard();
            }
        }));
}

} // namespace medlarrack::http::detail
