#include "client_connection.hpp"

#include <medlarrack/peer/client.hpp>

#include <asio/post.hpp>
#include <asio/strand.hpp>

#include <map>
#include <mutex>
#include <set>
#include <unordered_map>

namespace medlarrack::peer {

namespace {

constexpr int maxReroutes = 2;

using connection_pointer = std::shared_ptr<detail::client_connection>;
using stream_pointer = std::shared_ptr<detail::client_stream>;

} // namespace

/// The tables of connections and streams. m_mutex guards them; no callback is called and no other lock taken while it
/// is held.
class client::impl final : public detail::client_owner, public std::enable_shared_from_this<client::impl>
{
public:
    impl(asio::io_context &context, client_limits limits, std::function<hello()> self)
        : m_context(context)
        , m_limits(limits)
        , m_self(std::move(self))
    {
    }

    void setHelloCallback(std::function<void(const endpoint &, const hello &)> callback)
    {
        const std::lock_guard lock(m_mutex);
        m_onHello = std::make_shared<const hello_callback>(std::move(callback));
    }

    stream_id start(const endpoint &to, const message &request, stream_callbacks callbacks)
    {
        auto stream = std::make_shared<detail::client_stream>();
        stream->id = m_nextStream++;
        stream->to = to;
        stream->request = encode(request);
        stream->callbacks = std::move(callbacks);
        if (stream->request.size() > maxMessageBytes) {
            endLater(stream, "message_too_long");
        } else {
            place(stream);
        }
        return stream->id;
    }

    void cancel(stream_id id)
    {
        change(id, [](detail::client_stream &stream) {
            stream.cancelled = true;
        });
    }

    void setPaused(stream_id id, bool paused)
    {
        change(id, [paused](detail::client_stream &stream) {
            stream.paused = paused;
        });
    }

    [[nodiscard]] std::size_t connections() const
    {
        const std::lock_guard lock(m_mutex);
        return m_all.size();
    }

    void stop()
    {
        std::set<connection_pointer> all;
        {
            const std::lock_guard lock(m_mutex);
            m_stopped = true;
            all = m_all;
            m_byEndpoint.clear();
        }
        for (const auto &connection : all) {
            connection->shutDown();
        }
    }

    [[nodiscard]] hello self() override
    {
        return m_self();
    }

    void helloReceived(const endpoint &from, const hello &value) override
    {
        std::shared_ptr<const hello_callback> callback;
        {
            const std::lock_guard lock(m_mutex);
            callback = m_onHello;
        }
        if (callback && *callback) {
            (*callback)(from, value);
        }
    }

    void reroute(stream_pointer stream) override
    {
        if (++stream->reroutes > maxReroutes) {
            forget(stream->id);
            stream->finish(stream_end::not_processed, "connection closed before the request was sent");
            return;
        }
        place(std::move(stream));
    }

    void forget(stream_id id) override
    {
        const std::lock_guard lock(m_mutex);
        m_streams.erase(id);
    }

    void detach(detail::client_connection &connection) override
    {
        const std::lock_guard lock(m_mutex);
        detachLocked(connection);
    }

    void closed(detail::client_connection &connection) override
    {
        const std::lock_guard lock(m_mutex);
        detachLocked(connection);
        std::erase_if(m_all, [&](const connection_pointer &entry) {
            return entry.get() == &connection;
        });
    }

private:
    using hello_callback = std::function<void(const endpoint &, const hello &)>;

    struct placement
    {
        stream_pointer stream;
        connection_pointer on;
    };

    void place(stream_pointer stream)
    {
        connection_pointer connection;
        connection_pointer unused;
        bool isNew = false;
        std::string refusal;
        {
            const std::lock_guard lock(m_mutex);
            connection = findOrMake(stream->to, unused, isNew, refusal);
            if (connection) {
                connection->reserve();
                m_streams[stream->id] = {stream, connection};
            } else {
                m_streams.erase(stream->id);
            }
        }
        if (unused) {
            unused->retire();
        }
        if (!connection) {
            endLater(std::move(stream), refusal);
            return;
        }
        if (isNew) {
            connection->open();
        }
        connection->start(std::move(stream));
    }

    connection_pointer findOrMake(const endpoint &to, connection_pointer &unused, bool &isNew, std::string &refusal)
    {
        if (m_stopped) {
            refusal = "client stopped";
            return nullptr;
        }
        if (const auto found = m_byEndpoint.find(to); found != m_byEndpoint.end()) {
            return found->second;
        }
        if (m_all.size() >= m_limits.maxConnections) {
            unused = longestUnused();
            if (!unused) {
                refusal = "connection limit";
                return nullptr;
            }
            detachLocked(*unused);
            m_all.erase(unused);
        }
        isNew = true;
        asio::ip::tcp::socket socket(asio::make_strand(m_context));
        auto made = std::make_shared<detail::client_connection>(std::move(socket), weak_from_this(), to, m_limits);
        m_byEndpoint[to] = made;
        m_all.insert(made);
        return made;
    }

    [[nodiscard]] connection_pointer longestUnused() const
    {
        connection_pointer oldest;
        for (const auto &connection : m_all) {
            const bool unused = connection->active() == 0;
            if (unused && (!oldest || connection->lastUsed() < oldest->lastUsed())) {
                oldest = connection;
            }
        }
        return oldest;
    }

    void detachLocked(detail::client_connection &connection)
    {
        const auto found = m_byEndpoint.find(connection.peer());
        if (found != m_byEndpoint.end() && found->second.get() == &connection) {
            m_byEndpoint.erase(found);
        }
    }

    template<class Change>
    void change(stream_id id, const Change &apply)
    {
        placement found;
        {
            const std::lock_guard lock(m_mutex);
            const auto entry = m_streams.find(id);
            if (entry == m_streams.end()) {
                return;
            }
            found = entry->second;
            // Under the lock, so that a stream which moves to another connection takes the change with it.
            apply(*found.stream);
        }
        found.on->update(found.stream);
    }

    void endLater(stream_pointer stream, std::string detail)
    {
        asio::post(m_context, [stream = std::move(stream), detail = std::move(detail)] {
            stream->finish(stream_end::not_processed, detail);
        });
    }

    asio::io_context &m_context;
    client_limits m_limits;
    std::function<hello()> m_self;
    std::atomic<stream_id> m_nextStream{1};
    mutable std::mutex m_mutex;
    std::shared_ptr<const hello_callback> m_onHello;
    std::map<endpoint, connection_pointer> m_byEndpoint;
    std::set<connection_pointer> m_all;
    std::unordered_map<stream_id, placement> m_streams;
    bool m_stopped = false;
};

client::client(asio::io_context &context, client_limits limits, std::function<hello()> self)
    : m_impl(std::make_shared<impl>(context, limits, std::move(self)))
{
}

client::~client()
{
    m_impl->stop();
}

void client::onHello(std::function<void(const endpoint &, const hello &)> callback)
{
    m_impl->setHelloCallback(std::move(callback));
}

client::stream_id client::start(const endpoint &to, const message &request, stream_callbacks callbacks)
{
    return m_impl->start(to, request, std::move(callbacks));
}

void client::cancel(stream_id stream)
{
    m_impl->cancel(stream);
}

void client::pause(stream_id stream)
{
    m_impl->setPaused(stream, true);
}

void client::resume(stream_id stream)
{
    m_impl->setPaused(stream, false);
}

std::size_t client::connections() const
{
    return m_impl->connections();
}

void client::stop()
{
    m_impl->stop();
}

} // namespace medlarrack::peer
