#pragma once

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace medlarrack::http1::testing {

/// Sends bytes on a socket in the order given without waiting for the peer, which may be served by the same thread.
class queued_output
{
public:
    using socket_ptr = std::shared_ptr<asio::ip::tcp::socket>;

    explicit queued_output(socket_ptr socket)
        : m_queue(std::make_shared<queue>(queue{std::move(socket), {}}))
    {
    }

    void send(std::string_view bytes)
    {
        add({std::string(bytes), {}});
    }

    /// Calls an action once all that was sent before has left, or can't any more; the action is told which.
    void then(std::function<void(bool)> action)
    {
        add({{}, std::move(action)});
    }

private:
    struct item
    {
        std::string bytes;
        std::function<void(bool)> action;
        std::size_t sent = 0;
    };

    struct queue
    {
        socket_ptr socket;
        std::deque<item> items;
        bool sending = false;
        bool failed = false;
    };

    void add(item next)
    {
        m_queue->items.push_back(std::move(next));
        if (!m_queue->sending) {
            m_queue->sending = true;
            send(m_queue);
        }
    }

    static void send(const std::shared_ptr<queue> &from)
    {
        std::error_code error;
        from->socket->non_blocking(true, error);
        while (!from->items.empty()) {
            item &first = from->items.front();
            error.clear();
            while (!error && first.sent < first.bytes.size()) {
                const std::string_view rest = std::string_view(first.bytes).substr(first.sent);
                first.sent += from->socket->write_some(asio::buffer(rest), error);
            }
            if (error == asio::error::would_block) {
                from->socket->async_wait(asio::ip::tcp::socket::wait_write, [from](const std::error_code &) {
                    send(from);
                });
                return;
            }
            from->failed = from->failed || error;
            const std::function<void(bool)> action = std::move(first.action);
            from->items.pop_front();
            if (action) {
                action(!from->failed);
            }
        }
        from->sending = false;
    }

    std::shared_ptr<queue> m_queue;
};

} // namespace medlarrack::http1::testing
