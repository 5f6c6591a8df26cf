#pragma once

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/strand.hpp>

#include <functional>
#include <memory>

namespace medlarrack::http::detail {

/// Waits on a socket of libcurl's for the readiness that libcurl asks for. Used on one strand.
class watched_socket : public std::enable_shared_from_this<watched_socket>
{
public:
    using strand_type = asio::strand<asio::io_context::executor_type>;
    /// Called on the strand with CURL_CSELECT_IN, _OUT or _ERR.
    using ready_handler = std::function<void(int socket, int events)>;

    watched_socket(const strand_type &strand, int socket, ready_handler onReady);
    watched_socket(const watched_socket &) = delete;
    watched_socket &operator=(const watched_socket &) = delete;
    ~watched_socket();

    /// Sets what to wait for: CURL_POLL_NONE, _IN, _OUT, _INOUT or _REMOVE.
    void want(int what);
    /// Ends all waits without closing the socket, which is libcurl's.
    void release();

private:
    void wait(bool forReading);

    strand_type m_strand;
    asio::posix::stream_descriptor m_descriptor;
    int m_socket;
    ready_handler m_onReady;
    bool m_wantRead = false;
    bool m_wantWrite = false;
    bool m_waitsRead = false;
    bool m_waitsWrite = false;
    bool m_released = false;
};

} // namespace medlarrack::http::detail
