#include "server_connection.hpp"

#include <medlarrack/peer/reply_stream.hpp>
#include <medlarrack/peer/server.hpp>

#include <asio/post.hpp>
#include <asio/strand.hpp>

#include <atomic>
#include <mutex>
#include <set>

namespace medlarrack::peer {

namespace {

using connection_pointer = std::shared_ptr<detail::server_connection>;

constexpr std::chrono::milliseconds acceptRetry{100};

} // namespace

/// The acceptor, on its strand, and the table of connections, guarded by m_mutex. No callback is called and no other
/// lock taken while it is held.
class server::impl final : public detail::server_owner, public std::enable_shared_from_this<server::impl>
{
public:
    impl(asio::io_context &context, server_limits limits, std::function<hello()> self, stream_handler handler)
        : m_context(context)
        , m_limits(limits)
        , m_self(std::move(self))
        , m_handler(std::move(handler))
        , m_acceptor(asio::make_strand(context))
        , m_retryTimer(m_acceptor.get_executor())
    {
    }

    bool start(const std::string &address, std::uint16_t port, core::reason &why)
    {
        asio::error_code error;
        const auto ip = asio::ip::make_address(address, error);
        if (error) {
            why = {"bad_address", "'" + address + "' is not an IP address"};
            return false;
        }
        const asio::ip::tcp::endpoint at(ip, port);
        static_cast<void>(m_acceptor.open(at.protocol(), error));
        if (!error) {
            static_cast<void>(m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error));
        }
        if (!error) {
            static_cast<void>(m_acceptor.bind(at, error));
        }
        if (!error) {
            static_cast<void>(m_acceptor.listen(asio::socket_base::max_listen_connections, error));
        }
        if (error) {
            why = {"bind_failed", address + ":" + std::to_string(port) + ": " + error.message()};
            return false;
        }
        m_port = m_acceptor.local_endpoint(error).port();
        accept();
        return true;
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }

    void drain()
    {
        for (const auto &connection : closeDoor()) {
            connection->drain();
        }
    }

    void stop()
    {
        for (const auto &connection : closeDoor()) {
            connection->shutDown();
        }
        // Connections hold their server; without this the two would keep each other when the io_context runs no more.
        const std::lock_guard lock(m_mutex);
        m_connections.clear();
    }

    [[nodiscard]] std::size_t streams() const
    {
        return m_streams;
    }

    [[nodiscard]] std::size_t connections() const
    {
        const std::lock_guard lock(m_mutex);
        return m_connections.size();
    }

    [[nodiscard]] hello self() override
    {
        return m_self();
    }

    void dispatch(const hello &from, message request, std::shared_ptr<reply_stream> reply) override
    {
        m_handler(from, std::move(request), std::move(reply));
    }

    void streamOpened() override
    {
        ++m_streams;
    }

    void streamsClosed(std::size_t count) override
    {
        m_streams -= count;
    }

    void closed(detail::server_connection &connection) override
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_connections, [&](const connection_pointer &entry) {
            return entry.get() == &connection;
        });
    }

private:
    // Stops accepting and gives the connections open.
    std::set<connection_pointer> closeDoor()
    {
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            asio::error_code ignored;
            static_cast<void>(self->m_acceptor.close(ignored));
            self->m_retryTimer.cancel();
        });
        const std::lock_guard lock(m_mutex);
        m_doorClosed = true;
        return m_connections;
    }

    void accept()
    {
        m_acceptor.async_accept(asio::make_strand(m_context),
                                [weak = weak_from_this()](const asio::error_code &error, asio::ip::tcp::socket socket) {
                                    if (const auto self = weak.lock()) {
                                        self->onAccepted(error, std::move(socket));
                                    }
                                });
    }

    void onAccepted(const asio::error_code &error, asio::ip::tcp::socket socket)
    {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (error) {
            acceptLater();
            return;
        }
        admit(std::move(socket));
        accept();
    }

    // For errors such as no free file descriptor, which pass.
    void acceptLater()
    {
        m_retryTimer.expires_after(acceptRetry);
        m_retryTimer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->accept();
            }
        });
    }

    void admit(asio::ip::tcp::socket socket)
    {
        auto connection = std::make_shared<detail::server_connection>(std::move(socket), shared_from_this(), m_limits);
        {
            const std::lock_guard lock(m_mutex);
            if (m_doorClosed || m_connections.size() >= m_limits.maxConnections) {
                return;
            }
            m_connections.insert(connection);
        }
        connection->open();
    }

    asio::io_context &m_context;
    server_limits m_limits;
    std::function<hello()> m_self;
    stream_handler m_handler;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    std::uint16_t m_port = 0;
    std::atomic<std::size_t> m_streams{0};
    mutable std::mutex m_mutex;
    std::set<connection_pointer> m_connections;
    bool m_doorClosed = false;
};

server::server(asio::io_context &context, server_limits limits, std::function<hello()> self, stream_handler handler)
    : m_impl(std::make_shared<impl>(context, limits, std::move(self), std::move(handler)))
{
}

server::~server()
{
    m_impl->stop();
}

bool server::start(const std::string &address, std::uint16_t port, core::reason &why)
{
    return m_impl->start(address, port, why);
}

std::uint16_t server::port() const
{
    return m_impl->port();
}

void server::drain()
{
    m_impl->drain();
}

std::size_t server::streams() const
{
    return m_impl->streams();
}

std::size_t server::connections() const
{
    return m_impl->connections();
}

void server::stop()
{
    m_impl->stop();
}

} // namespace medlarrack::peer
