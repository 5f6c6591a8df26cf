#include "caller_server.hpp"

#include <medlarrack/http1/listen.hpp>
#include <medlarrack/log/log.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::gateway {

namespace {

/// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr std::chrono::milliseconds acceptRetryDelay{50};
/// Requests that were sent before the listener closed are read within this time, also by a busy process.
constexpr std::chrono::milliseconds unreadRequestTime{500};

} // namespace

caller_server::caller_server(asio::io_context &context, exchange_services &services)
    : m_context(context)
    , m_services(services)
    , m_acceptor(context)
    , m_acceptRetryTimer(context)
{
}

caller_server::~caller_server() = default;

bool caller_server::listen(const asio::ip::tcp::endpoint &at, core::reason &why)
{
    if (!http1::listen(m_acceptor, at, why)) {
        return false;
    }
    accept();
    return true;
}

std::uint16_t caller_server::port() const
{
    std::error_code ignored;
    return m_acceptor.local_endpoint(ignored).port();
}

void caller_server::accept()
{
    m_acceptor.async_accept(
        [this, weak = std::weak_ptr(m_self)](const std::error_code &error, asio::ip::tcp::socket socket) {
            // Closing the acceptor doesn't stop a handler that is already queued.
            if (weak.expired() || error == asio::error::operation_aborted || (error && m_closing)) {
                return;
            }
            if (error) {
                log::write(log::level::warning, "failed to accept connection", {{"why", error.message()}});
                m_acceptRetryTimer.expires_after(acceptRetryDelay);
                m_acceptRetryTimer.async_wait([this, weak](const std::error_code &waitError) {
                    if (!weak.expired() && !waitError) {
                        accept();
                    }
                });
                return;
            }
            addConnection(std::move(socket));
            if (!m_closing) {
                accept();
            }
        });
}

void caller_server::addConnection(asio::ip::tcp::socket socket)
{
    auto stream = std::make_shared<http1::byte_stream>(m_context, std::move(socket));
    auto connection = std::make_shared<caller_connection>(m_self, m_services, std::move(stream));
    if (m_draining) {
        connection->drain();
    }
    if (m_refuseFrom) {
        connection->refuseRequestsFrom(*m_refuseFrom);
    }
    m_connections.push_back(connection);
    connection->start();
}

void caller_server::acceptWaiting()
{
    std::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (!error) {
            addConnection(std::move(socket));
        }
    }
}

void caller_server::tick(core::monotonic_time now)
{
    for (std::size_t index = 0; index < m_connections.size(); ++index) {
        const auto connection = m_connections[index];
        connection->tick(now);
        if (m_closing) {
            connection->closeIfIdle();
        }
    }
    std::erase_if(m_connections, [this](const auto &connection) {
        return connection->isClosed() && (m_draining ? !connection->isOpen() : !connection->hasUnsentBytes());
    });
}

void caller_server::drain()
{
    m_draining = true;
    for (const auto &connection : m_connections) {
        connection->drain();
    }
}

void caller_server::refuseRequestsFrom(core::monotonic_time time)
{
    m_refuseFrom = time;
    for (const auto &connection : m_connections) {
        connection->refuseRequestsFrom(time);
    }
}

void caller_server::close()
{
    if (std::exchange(m_closing, true)) {
        return;
    }
    // The system has made these connections, and their requests may be on the way. Closing would reset them.
    acceptWaiting();
    refuseRequestsFrom(m_services.clock.now() + unreadRequestTime);
    std::error_code ignored;
    m_acceptor.close(ignored);
    m_acceptRetryTimer.cancel();
}

void caller_server::endRequests(std::string_view code, std::string_view why)
{
    // Ending one may drop a connection from the list later, but adds none.
    for (const auto &connection : m_connections) {
        connection->endRequest(code, why);
    }
}

std::size_t caller_server::busy() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [](const auto &connection) {
            return !connection->isClosed() && !connection->isIdle();
        }));
}

std::size_t caller_server::untakenBytes() const
{
    std::size_t sum = 0;
    for (const auto &connection : m_connections) {
        sum += connection->untakenBytes();
    }
    return sum;
}

std::size_t caller_server::awaitingCallers() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_connections, [](const auto &connection) {
        return connection->awaitsTaking();
    }));
}

bool caller_server::isEmpty() const
{
    return std::ranges::none_of(m_connections, [](const auto &connection) {
        return connection->isOpen();
    });
}

bool caller_server::isDrained() const
{
    return std::all_of(m_connections.begin(), m_connections.end(), [](const auto &connection) {
        return !connection->hasUnsentBytes()
            && (connection->isClosed() || (connection->isIdle() && !connection->hasUnreadBytes()));
    });
}

} // namespace medlarrack::gateway
