#include "caller_server.hpp"

#include <medlarrack/http1/listen.hpp>
#include <medlarrack/log/log.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace medlarrack::gateway {

namespace {

/// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr std::chrono::milliseconds acceptRetryDelay{50};
/// Requests that were sent before the listener closed are read within this time, also by a busy process.
constexpr std::chrono::milliseconds unreadRequestTime{500};

/// Bodies that stand still for this long, and answers of which nothing is taken, are the first to go when memory is
/// used up. Callers on slow links pause for less.
constexpr std::chrono::milliseconds standstillTime{500};
/// Beyond all but this part of the limit, new bodies and responses hardly find room.
constexpr std::size_t nearlyFullDivisor = 4;
/// Bodies wait this long for room. Callers abandon requests that take longer than a few seconds.
constexpr std::chrono::milliseconds longestRoomWait{2'000};
/// A caller sends its head within this time of connecting, on the longest link; others may be closed for want of room.
constexpr std::chrono::milliseconds headGrace{250};
/// Heads that are being received may hold this part of the account; 1,000 usual ones of 4 KB do at 64 MB of memory.
/// Beyond, slow ones are refused, and beyond twice that the largest ones: 200 Mbit/s of short lines bring 10 MB of
/// memory in the time between two ticks.
constexpr std::size_t headShareDivisor = 4;
constexpr double logLinesPerSecond = 1;
constexpr double logBurst = 5;

} // namespace

caller_server::caller_server(asio::io_context &context, exchange_services &services)
    : m_context(context)
    , m_services(services)
    , m_acceptor(context)
    , m_acceptRetryTimer(context)
    , m_logRate(logLinesPerSecond, logBurst, services.clock.now())
    , m_refusalLogRates(std::make_shared<refusal_log_rates>(services.clock.now()))
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
    m_awaitsRoom = !makeRoom();
    if (m_awaitsRoom) {
        return;
    }
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
    std::error_code ignored;
    std::string peerAddress = socket.remote_endpoint(ignored).address().to_string();
    auto stream = std::make_shared<http1::byte_stream>(m_context, std::move(socket));
    auto connection = std::make_shared<caller_connection>(m_self, m_services, std::move(stream), std::move(peerAddress),
                                                          m_refusalLogRates);
    if (m_draining) {
        connection->drain();
    }
    if (m_refuseFrom) {
        connection->refuseRequestsFrom(*m_refuseFrom);
    }
    m_connections.push_back(connection);
    recordPlaces();
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
    m_services.capacityWaiters.tick(now);
    for (std::size_t index = 0; index < m_connections.size(); ++index) {
        const auto connection = m_connections[index];
        connection->tick(now);
        if (m_closing) {
            connection->closeIfIdle();
        }
    }
    relieveMemory(now);
    // Those that have ended count until their descriptors are closed.
    std::erase_if(m_connections, [](const auto &connection) {
        return connection->isClosed() && !connection->isOpen();
    });
    recordPlaces();
    resumeAccepting();
}

void caller_server::setMaxConnections(std::size_t count)
{
    m_maxConnections = count;
    recordPlaces();
    resumeAccepting();
}

void caller_server::recordPlaces()
{
    m_services.ownLoad.recordConnections(m_connections.size(), m_maxConnections);
}

void caller_server::resumeAccepting()
{
    if (m_awaitsRoom && !m_closing) {
        accept();
    }
}

bool caller_server::makeRoom()
{
    if (m_connections.size() < m_maxConnections) {
        return true;
    }
    const core::monotonic_time now = m_services.clock.now();
    const auto longest = std::ranges::max_element(m_connections, {}, [now](const auto &connection) {
        return connection->timeWithoutHead(now).value_or(std::chrono::nanoseconds(-1));
    });
    if (longest == m_connections.end()
        || (*longest)->timeWithoutHead(now).value_or(std::chrono::nanoseconds(-1)) < headGrace) {
        return false;
    }
    recordTurnedAway("no_connection", "no whole head was sent, and all connections are in use", **longest, 0);
    (*longest)->dropWithoutHead();
    m_connections.erase(longest);
    return true;
}

void caller_server::refuseHeads(core::monotonic_time now)
{
    std::size_t bytes = 0;
    for (const auto &connection : m_connections) {
        bytes += connection->headMemory();
    }
    const std::size_t share = m_services.heldBytes.limit() / headShareDivisor;
    if (bytes <= share) {
        return;
    }
    struct candidate
    {
        std::shared_ptr<caller_connection> connection;
        std::chrono::nanoseconds age{0};
        std::size_t bytes = 0;
    };
    std::vector<candidate> candidates;
    for (const auto &connection : m_connections) {
        if (const auto age = connection->headAge(now)) {
            candidates.push_back({connection, *age, connection->headMemory()});
        }
    }
    const auto refuse = [&](const candidate &one) {
        recordTurnedAway("no_memory", "its head was slow or large while heads held too much", *one.connection,
                         one.bytes);
        one.connection->refuseSlowHead();
        bytes -= one.bytes;
    };
    std::ranges::stable_sort(candidates, std::ranges::greater(), &candidate::age);
    const auto firstQuick = std::ranges::find_if(candidates, [](const candidate &one) {
        return one.age < headGrace;
    });
    for (auto slow = candidates.begin(); slow != firstQuick && bytes > share; ++slow) {
        refuse(*slow);
    }
    std::ranges::stable_sort(firstQuick, candidates.end(), std::ranges::greater(), &candidate::bytes);
    for (auto large = firstQuick; large != candidates.end() && bytes > 2 * share; ++large) {
        refuse(*large);
    }
}

void caller_server::relieveMemory(core::monotonic_time now)
{
    refuseHeads(now);
    std::size_t smallBytes = 0;
    for (const auto &connection : m_connections) {
        smallBytes += connection->smallBytes();
    }
    overload::byte_account &account = m_services.heldBytes;
    account.setUnshared(smallBytes);
    if (account.waiting() == 0 && account.heldBytes() <= account.limit()) {
        return;
    }
    // While there is room for others, only addresses that have used up their share lose a body.
    const bool isNearlyFull = account.heldBytes() > account.limit() - account.limit() / nearlyFullDivisor;
    std::set<std::string_view> waitingAddresses;
    for (const auto &connection : m_connections) {
        if (!isNearlyFull && connection->roomWait(now)) {
            waitingAddresses.insert(connection->peerAddress());
        }
    }
    std::shared_ptr<caller_connection> still;
    std::shared_ptr<caller_connection> untaken;
    std::shared_ptr<caller_connection> waiting;
    for (const auto &connection : m_connections) {
        if (connection->bodyStandstill(now).value_or(std::chrono::nanoseconds(0)) >= standstillTime
            && (isNearlyFull || waitingAddresses.contains(connection->peerAddress()))
            && (still == nullptr || connection->bodyBytes() > still->bodyBytes())) {
            still = connection;
        }
        if (connection->takingStandstill(now).value_or(std::chrono::nanoseconds(0)) >= standstillTime
            && (untaken == nullptr || connection->untakenBytes() > untaken->untakenBytes())) {
            untaken = connection;
        }
        if (connection->roomWait(now).value_or(std::chrono::nanoseconds(0)) >= longestRoomWait
            && (waiting == nullptr || connection->bodyBytes() > waiting->bodyBytes())) {
            waiting = connection;
        }
    }
    if (still != nullptr) {
        recordTurnedAway("no_memory", "its body stood still while memory was used up", *still, still->bodyBytes());
        still->refuseForMemory();
    } else if (waiting != nullptr) {
        recordTurnedAway("no_memory", "there was no room for its body in time", *waiting, waiting->bodyBytes());
        waiting->refuseForMemory();
    }
    if (untaken != nullptr) {
        recordTurnedAway("no_memory", "it took none of its answer while memory was used up", *untaken,
                         untaken->untakenBytes());
        untaken->dropUntaken();
    }
}

void caller_server::recordTurnedAway(std::string_view code, std::string_view why, const caller_connection &connection,
                                     std::size_t bytes)
{
    m_services.metrics.count("medlarrack_gateway_refused_peers_total",
                             "Peers that were turned away because they or others are outside the limits",
                             {.code = std::string(code)});
    const auto unlogged = m_logRate.tryWrite(m_services.clock.now());
    if (!unlogged) {
        return;
    }
    log::write(log::level::warning, "caller turned away",
               {{"code", code},
                {"why", why},
                {"address", connection.peerAddress()},
                {"bytes", static_cast<std::uint64_t>(bytes)},
                {"held_bytes", static_cast<std::uint64_t>(m_services.heldBytes.heldBytes())},
                {"connections", static_cast<std::uint64_t>(m_connections.size())},
                {"unlogged", *unlogged}});
}

std::size_t caller_server::size() const
{
    return m_connections.size();
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

std::map<std::string, std::size_t, std::less<>> caller_server::smallBytesByAddress() const
{
    std::map<std::string, std::size_t, std::less<>> byAddress;
    for (const auto &connection : m_connections) {
        byAddress[connection->peerAddress()] += connection->smallBytes();
    }
    return byAddress;
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
