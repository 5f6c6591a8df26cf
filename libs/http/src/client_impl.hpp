#pragma once

#include "exchange.hpp"
#include "watched_socket.hpp"

#include <medlarrack/http/client.hpp>

#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <atomic>
#include <memory>
#include <unordered_map>

namespace medlarrack::http {

/// Drives libcurl's multi interface. All of libcurl, and so all callbacks of exchanges, run on one strand.
class client::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context &context, std::size_t maxConnectionsPerHost);
    impl(const impl &) = delete;
    impl &operator=(const impl &) = delete;
    ~impl();

    call_id start(client_request request, client_callbacks callbacks);
    void cancel(call_id call);
    void stop();

private:
    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *self, void *socketData);
    static int onTimer(CURLM *multi, long timeoutMs, void *self);
    static curl_socket_t onOpenSocket(void *self, curlsocktype purpose, curl_sockaddr *address);
    static int onCloseSocket(void *self, curl_socket_t socket);

    void begin(call_id call, std::unique_ptr<detail::exchange> exchange);
    void act(curl_socket_t socket, int events);
    void collectFinished();
    void finishAll();
    std::shared_ptr<detail::watched_socket> watch(curl_socket_t socket);

    detail::watched_socket::strand_type m_strand;
    asio::steady_timer m_timer;
    CURLM *m_multi;
    bool m_stopped = false;
    std::atomic<call_id> m_lastCall{0};
    std::unordered_map<call_id, std::unique_ptr<detail::exchange>> m_exchanges;
    std::unordered_map<CURL *, call_id> m_calls;
    std::unordered_map<curl_socket_t, std::shared_ptr<detail::watched_socket>> m_sockets;
};

} // namespace medlarrack::http
