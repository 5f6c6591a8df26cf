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
/// A peer sends its first request within this time of connecting; others may be closed for want of room.
constexpr std::chrono::milliseconds requestGrace{1'000};
/// Connections beyond the limit that may be about to close, as a part of the limit.
constexpr std::size_t closingDivisor = 16;
/// Connections of which nothing is taken for this long are the first to go when memory is used up.
constexpr std::chrono::milliseconds standstillTime{500};
constexpr std::chrono::milliseconds reliefInterval{25};

} // namespace

/// The acceptor, on its strand, and the table of connections, guarded by m_mutex. No callback is called and no other
/// lock taken while it is held.
class server::impl final : public detail::server_owner, public std::enable_shared_from_this<server::impl>
{
public:
    impl(asio::io_context &context, server_limits limits, std::function<hello()> self, stream_handler handler)
        : m_context(context)
        , m_limits(std::move(limits))
        , m_self(std::move(self))
        , m_handler(std::move(handler))
        , m_acceptor(asio::make_strand(context))
        , m_retryTimer(m_acceptor.get_executor())
        , m_reliefTimer(m_acceptor.get_executor())
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
        if (m_limits.budget) {
            asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
                self->relieveLater();
            });
        }
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
        m_ending.erase(&connection);
    }

private:
    // Stops accepting and gives the connections open.
    std::set<connection_pointer> closeDoor()
    {
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            asio::error_code ignored;
            static_cast<void>(self->m_acceptor.close(ignored));
            self->m_retryTimer.cancel();
            self->m_reliefTimer.cancel();
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
        connection_pointer ended;
        bool isAdded = false;
        {
            const std::lock_guard lock(m_mutex);
            if (m_doorClosed) {
                return;
            }
            if (m_connections.size() >= m_limits.maxConnections) {
                ended = findIdle();
            }
            isAdded = m_connections.size() < m_limits.maxConnections || ended;
            if (isAdded) {
                m_connections.insert(connection);
            }
        }
        if (ended) {
            ended->shutDown();
            recordNoRoom("no request was sent, and all connections are in use", *ended);
        } else if (!isAdded) {
            recordNoRoom("all connections are in use", *connection);
        }
        if (isAdded) {
            connection->open();
        }
    }

    // Finds the oldest connection without a whole request, which is to end then. Called with the mutex held.
    connection_pointer findIdle()
    {
        if (m_connections.size() > m_limits.maxConnections + m_limits.maxConnections / closingDivisor) {
            return nullptr;
        }
        const auto now = std::chrono::steady_clock::now();
        connection_pointer oldest;
        std::chrono::nanoseconds longest = requestGrace;
        for (const auto &connection : m_connections) {
            const auto time = connection->timeWithoutRequest(now);
            if (time && *time >= longest && !m_ending.contains(connection.get())) {
                longest = *time;
                oldest = connection;
            }
        }
        if (oldest) {
            m_ending.insert(oldest.get());
        }
        return oldest;
    }

    void recordNoRoom(std::string_view why, const detail::server_connection &connection)
    {
        if (m_limits.budget) {
            m_limits.budget->recordTurnedAway({"no_connection", why, connection.address()});
        }
    }

    void relieveLater()
    {
        if (!m_acceptor.is_open()) {
            return;
        }
        m_reliefTimer.expires_after(reliefInterval);
        m_reliefTimer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->relieveMemory();
                self->relieveLater();
            }
        });
    }

    // Ends the connection with the most bytes to take of those that take none.
    void relieveMemory()
    {
        if (!m_limits.budget->isFull()) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        connection_pointer found;
        std::size_t most = 0;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &connection : m_connections) {
                if (connection->untakenBytes() > most && connection->takingStandstill(now) >= standstillTime) {
                    most = connection->untakenBytes();
                    found = connection;
                }
            }
        }
        if (found) {
            m_limits.budget->recordTurnedAway(
                {"no_memory", "it took none of its replies while memory was used up", found->address(), most});
            found->shutDown();
        }
    }

    asio::io_context &m_context;
    server_limits m_limits;
    std::function<hello()> m_self;
    stream_handler m_handler;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    asio::steady_timer m_reliefTimer;
    std::uint16_t m_port = 0;
    std::atomic<std::size_t> m_streams{0};
    mutable std::mutex m_mutex;
    std::set<connection_pointer> m_connections;
    /// Those that are closed to make room.
    std::set<const detail::server_connection *> m_ending;
    bool m_doorClosed = false;
};

server::server(asio::io_context &context, server_limits limits, std::function<hello()> self, stream_handler handler)
    : m_impl(std::make_shared<impl>(context, std::move(limits), std::move(self), std::move(handler)))
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
