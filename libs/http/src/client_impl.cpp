#include "client_impl.hpp"

#include <asio/bind_executor.hpp>
#include <asio/post.hpp>

#include <mutex>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace medlarrack::http {

namespace {

/// Kept connections to all hosts together.
constexpr long maxKeptConnections = 4096;

void initLibcurl()
{
    static std::once_flag once;
    std::call_once(once, [] {
        curl_global_init(CURL_GLOBAL_DEFAULT);
    });
}

} // namespace

client::impl::impl(asio::io_context &context, std::size_t maxConnectionsPerHost)
    : m_strand(asio::make_strand(context))
    , m_timer(m_strand)
{
    initLibcurl();
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &impl::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &impl::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(maxConnectionsPerHost));
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxKeptConnections);
}

client::impl::~impl()
{
    for (auto &[call, exchange] : m_exchanges) {
        curl_multi_remove_handle(m_multi, exchange->handle());
    }
    if (m_multi != nullptr) {
        curl_multi_cleanup(m_multi);
    }
}

client::call_id client::impl::start(client_request request, client_callbacks callbacks)
{
    const call_id call = ++m_lastCall;
    auto exchange = std::make_unique<detail::exchange>(std::move(request), std::move(callbacks));
    asio::post(m_strand, [self = shared_from_this(), call, exchange = std::move(exchange)]() mutable {
        self->begin(call, std::move(exchange));
    });
    return call;
}

void client::impl::cancel(call_id call)
{
    asio::post(m_strand, [self = shared_from_this(), call] {
        const auto found = self->m_exchanges.find(call);
        if (found == self->m_exchanges.end()) {
            return;
        }
        const auto exchange = std::move(found->second);
        self->m_exchanges.erase(found);
        self->m_calls.erase(exchange->handle());
        curl_multi_remove_handle(self->m_multi, exchange->handle());
        exchange->finishEarly("cancelled", "broken off by this side");
    });
}

void client::impl::stop()
{
    asio::post(m_strand, [self = shared_from_this()] {
        self->finishAll();
    });
}

void client::impl::begin(call_id call, std::unique_ptr<detail::exchange> exchange)
{
    if (m_stopped) {
        exchange->finishEarly("cancelled", "the client is stopped");
        return;
    }
    if (!exchange->prepare()) {
        exchange->finishEarly("bad_request", "the request can't be sent as HTTP");
        return;
    }
    CURL *handle = exchange->handle();
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &impl::onOpenSocket);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &impl::onCloseSocket);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
    m_calls.emplace(handle, call);
    m_exchanges.emplace(call, std::move(exchange));
    curl_multi_add_handle(m_multi, handle);
}

void client::impl::finishAll()
{
    if (m_stopped) {
        return;
    }
    m_stopped = true;
    auto exchanges = std::exchange(m_exchanges, {});
    m_calls.clear();
    for (auto &[call, exchange] : exchanges) {
        curl_multi_remove_handle(m_multi, exchange->handle());
        exchange->finishEarly("cancelled", "the client is stopped");
    }
    exchanges.clear();
    curl_multi_cleanup(std::exchange(m_multi, nullptr));
    m_timer.cancel();
}

void client::impl::act(curl_socket_t socket, int events)
{
    if (m_stopped) {
        return;
    }
    int running = 0;
    curl_multi_socket_action(m_multi, socket, events, &running);
    collectFinished();
}

void client::impl::collectFinished()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        CURL *handle = message->easy_handle;
        const CURLcode code = message->data.result;
        curl_multi_remove_handle(m_multi, handle);
        const auto call = m_calls.extract(handle);
        const auto exchange = m_exchanges.extract(call.mapped());
        exchange.mapped()->finish(code);
    }
}

std::shared_ptr<detail::watched_socket> client::impl::watch(curl_socket_t socket)
{
    auto &watched = m_sockets[socket];
    if (!watched) {
        watched = std::make_shared<detail::watched_socket>(m_strand, socket,
                                                           [this, weak = weak_from_this()](int ready, int events) {
                                                               if (const auto self = weak.lock()) {
                                                                   act(ready, events);
                                                               }
                                                           });
    }
    return watched;
}

int client::impl::onSocket(CURL * /*easy*/, curl_socket_t socket, int what, void *self, void * /*socketData*/)
{
    auto *client = static_cast<impl *>(self);
    if (what == CURL_POLL_REMOVE) {
        const auto found = client->m_sockets.find(socket);
        if (found != client->m_sockets.end()) {
            found->second->want(what);
        }
        return 0;
    }
    client->watch(socket)->want(what);
    return 0;
}

int client::impl::onTimer(CURLM * /*multi*/, long timeoutMs, void *self)
{
    auto *client = static_cast<impl *>(self);
    if (timeoutMs < 0) {
        client->m_timer.cancel();
        return 0;
    }
    client->m_timer.expires_after(std::chrono::milliseconds(timeoutMs));
    client->m_timer.async_wait([shared = client->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            shared->act(CURL_SOCKET_TIMEOUT, 0);
        }
    });
    return 0;
}

curl_socket_t client::impl::onOpenSocket(void *self, curlsocktype /*purpose*/, curl_sockaddr *address)
{
    const curl_socket_t socket = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (socket != CURL_SOCKET_BAD) {
        static_cast<impl *>(self)->watch(socket);
    }
    return socket;
}

int client::impl::onCloseSocket(void *self, curl_socket_t socket)
{
    auto &sockets = static_cast<impl *>(self)->m_sockets;
    const auto found = sockets.find(socket);
    if (found != sockets.end()) {
        found->second->release();
        sockets.erase(found);
    }
    return ::close(socket);
}

} // namespace medlarrack::http
