#include <medlarrack/config_sync/peer_query.hpp>
#include <medlarrack/peer/client.hpp>

#include <asio/steady_timer.hpp>

#include <memory>
#include <mutex>
#include <utility>
#include <variant>

namespace medlarrack::config_sync {

namespace {

/// A query in flight. Finishes exactly once, at the end of its stream or at the timeout. The mutex is a leaf in the
/// lock order.
class peer_query : public std::enable_shared_from_this<peer_query>
{
public:
    peer_query(asio::io_context &context, peer::client &client, peer_reply_handler handler)
        : m_timer(context)
        , m_client(client)
        , m_handler(std::move(handler))
    {
    }

    void start(const peer::endpoint &to, const peer::tickets_request &request, std::chrono::milliseconds timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this()](const std::error_code &error) {
            if (!error) {
                self->onTimeout();
            }
        });
        peer::stream_callbacks callbacks;
        callbacks.onMessage = [self = shared_from_this()](const peer::message &message) {
            self->onReply(message);
        };
        callbacks.onEnd = [self = shared_from_this()](peer::stream_end, const std::string &) {
            self->finish();
        };
        const auto stream = m_client.start(to, request, std::move(callbacks));
        const std::lock_guard lock(m_mutex);
        m_stream = stream;
    }

private:
    void onReply(const peer::message &message)
    {
        const std::lock_guard lock(m_mutex);
        if (const auto *reply = std::get_if<peer::tickets_reply>(&message)) {
            m_reply = *reply;
        }
    }

    void onTimeout()
    {
        std::optional<peer::client::stream_id> stream;
        {
            const std::lock_guard lock(m_mutex);
            stream = m_stream;
        }
        if (stream) {
            m_client.cancel(*stream);
        }
        finish();
    }

    void finish()
    {
        peer_reply_handler handler;
        std::optional<peer::tickets_reply> reply;
        {
            const std::lock_guard lock(m_mutex);
            handler = std::exchange(m_handler, nullptr);
            reply = std::move(m_reply);
            m_timer.cancel();
        }
        if (handler) {
            handler(std::move(reply));
        }
    }

    asio::steady_timer m_timer;
    peer::client &m_client;
    std::mutex m_mutex;
    peer_reply_handler m_handler;
    std::optional<peer::tickets_reply> m_reply;
    std::optional<peer::client::stream_id> m_stream;
};

} // namespace

decltype(reader_callbacks::queryPeer) makePeerQuery(asio::io_context &context, peer::client &client,
                                                    std::chrono::milliseconds timeout)
{
    return [&context, &client, timeout](const peer_ref &peer, const peer::tickets_request &request,
                                        peer_reply_handler handler) {
        std::make_shared<peer_query>(context, client, std::move(handler))
            ->start({peer.address, peer.port}, request, timeout);
    };
}

} // namespace medlarrack::config_sync
