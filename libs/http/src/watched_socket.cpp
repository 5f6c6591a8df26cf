#include "watched_socket.hpp"

#include <asio/bind_executor.hpp>
#include <curl/curl.h>

#include <utility>

namespace medlarrack::http::detail {

watched_socket::watched_socket(const strand_type &strand, int socket, ready_handler onReady)
    : m_strand(strand)
    , m_descriptor(strand)
    , m_socket(socket)
    , m_onReady(std::move(onReady))
{
    asio::error_code error;
    m_descriptor.assign(socket, error);
    m_released = static_cast<bool>(error);
}

watched_socket::~watched_socket()
{
    release();
}

void watched_socket::want(int what)
{
    m_wantRead = what == CURL_POLL_IN || what == CURL_POLL_INOUT;
    m_wantWrite = what == CURL_POLL_OUT || what == CURL_POLL_INOUT;
    if (m_wantRead && !m_waitsRead) {
        wait(true);
    }
    if (m_wantWrite && !m_waitsWrite) {
        wait(false);
    }
}

void watched_socket::release()
{
    if (!m_released) {
        m_released = true;
        m_descriptor.release();
    }
}

void watched_socket::wait(bool forReading)
{
    if (m_released) {
        return;
    }
    (forReading ? m_waitsRead : m_waitsWrite) = true;
    m_descriptor.async_wait(
        forReading ? asio::posix::stream_descriptor::wait_read : asio::posix::stream_descriptor::wait_write,
        asio::bind_executor(m_strand, [self = shared_from_this(), forReading](const asio::error_code &error) {
            (forReading ? self->m_waitsRead : self->m_waitsWrite) = false;
            const bool wanted = forReading ? self->m_wantRead : self->m_wantWrite;
            if (self->m_released || !wanted || error == asio::error::operation_aborted) {
                return;
            }
            const int events = error ? CURL_CSELECT_ERR : forReading ? CURL_CSELECT_IN : CURL_CSELECT_OUT;
            self->m_onReady(self->m_socket, events);
            const bool stillWanted =
                forReading ? self->m_wantRead && !self->m_waitsRead : self->m_wantWrite && !self->m_waitsWrite;
            if (stillWanted) {
                self->wait(forReading);
            }
        }));
}

} // namespace medlarrack::http::detail
