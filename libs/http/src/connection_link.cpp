#include "connection_link.hpp"

#include "server_socket.hpp"

#include <asio/error.hpp>
#include <asio/post.hpp>

#include <sys/socket.h>
#include <utility>

namespace medlarrack::http::detail {

namespace {

constexpr int noSocket = -1;
/// A longer body is counted by itself.
constexpr std::size_t shortBodyBytes = 16'384;
/// A body that grows by less stands still.
constexpr std::size_t leastProgress = 4'096;

} // namespace

connection_link::connection_link(asio::io_context::executor_type executor, int socket, std::string address)
    : m_executor(std::move(executor))
    , m_socket(socket)
    , m_address(std::move(address))
    , m_acceptedAt(std::chrono::steady_clock::now())
{
}

connection_link::~connection_link()
{
    if (m_budget) {
        m_budget->addUnclaimed(-static_cast<std::ptrdiff_t>(m_buffered + m_whole));
    }
}

void connection_link::breakOff()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isBrokenOff = true;
        if (m_socket != noSocket) {
            ::shutdown(m_socket, SHUT_RDWR);
        }
    }
    // Without a read in progress the connection would not notice.
    wakeRead();
}

bool connection_link::isBrokenOff() const
{
    const std::lock_guard lock(m_mutex);
    return m_isBrokenOff || m_closed;
}

void connection_link::markClosed()
{
    std::map<watch_id, std::function<void()>> watchers;
    waiting_read left;
    {
        const std::lock_guard lock(m_mutex);
        m_socket = noSocket;
        m_closed = true;
        watchers.swap(m_watchers);
        left.swap(m_waitingRead);
    }
    if (left) {
        // It notices the end. Not kept here, as it holds the connection, which holds this.
        asio::post(m_strand, [read = std::move(left)] {
            read({});
        });
    }
    for (auto &[id, callback] : watchers) {
        asio::post(m_executor, std::move(callback));
    }
}

void connection_link::forget()
{
    const std::lock_guard lock(m_mutex);
    m_socket = noSocket;
    m_closed = true;
}

connection_link::watch_id connection_link::watch(std::function<void()> callback)
{
    const std::lock_guard lock(m_mutex);
    const watch_id id = ++m_lastWatch;
    if (m_closed) {
        asio::post(m_executor, std::move(callback));
    } else {
        m_watchers.emplace(id, std::move(callback));
    }
    return id;
}

void connection_link::unwatch(watch_id id)
{
    std::function<void()> dropped;
    const std::lock_guard lock(m_mutex);
    const auto found = m_watchers.find(id);
    if (found != m_watchers.end()) {
        // Destroyed after the mutex is released, since it may own anything.
        dropped = std::move(found->second);
        m_watchers.erase(found);
    }
}

void connection_link::count(std::size_t &bytes, std::ptrdiff_t change)
{
    if (m_buffered + m_whole == 0) {
        m_tookAt = std::chrono::steady_clock::now();
    }
    bytes += static_cast<std::size_t>(change);
    if (m_budget) {
        m_budget->addUnclaimed(change);
    }
}

bool connection_link::addBuffered(std::size_t bytes, std::size_t limit)
{
    const std::lock_guard lock(m_mutex);
    count(m_buffered, static_cast<std::ptrdiff_t>(bytes));
    return m_buffered <= limit;
}

void connection_link::removeBuffered(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    count(m_buffered, -static_cast<std::ptrdiff_t>(bytes));
}

void connection_link::addWhole(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    count(m_whole, static_cast<std::ptrdiff_t>(bytes));
}

void connection_link::removeWhole(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    count(m_whole, -static_cast<std::ptrdiff_t>(bytes));
}

void connection_link::requestStarted()
{
    const std::lock_guard lock(m_mutex);
    ++m_requests;
}

void connection_link::requestFinished()
{
    const std::lock_guard lock(m_mutex);
    --m_requests;
}

bool connection_link::busy() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests != 0;
}

const std::string &connection_link::address() const
{
    return m_address;
}

void connection_link::countIn(std::shared_ptr<core::byte_budget> budget)
{
    const std::lock_guard lock(m_mutex);
    m_budget = std::move(budget);
}

connection_load connection_link::load(steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    connection_load result;
    result.bodyBytes = m_isInBody ? m_bodyBytes : 0;
    if (m_isInBody && m_awaitsRoomSince) {
        result.roomWait = now - *m_awaitsRoomSince;
    } else if (m_isInBody) {
        result.bodyStandstill = now - m_bodyGrewAt;
    }
    result.untakenBytes = m_buffered + m_whole;
    if (result.untakenBytes > 0) {
        result.takingStandstill = now - m_tookAt;
    }
    return result;
}

std::optional<std::chrono::nanoseconds> connection_link::timeWithoutHead(steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    return m_hadHead || m_closed ? std::nullopt : std::optional<std::chrono::nanoseconds>(now - m_acceptedAt);
}

void connection_link::refuse(int status)
{
    {
        const std::lock_guard lock(m_mutex);
        // The request may have become complete meanwhile.
        if (!m_isInBody || m_isRefused || m_closed) {
            return;
        }
        m_refusal = status;
        m_isRefused = true;
    }
    wakeRead();
}

int connection_link::takeRefusal()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_refusal, 0);
}

bool connection_link::isRefused() const
{
    const std::lock_guard lock(m_mutex);
    return m_isRefused && !m_closed;
}

void connection_link::recordTaken()
{
    const std::lock_guard lock(m_mutex);
    m_tookAt = std::chrono::steady_clock::now();
}

void connection_link::onHead()
{
    const std::lock_guard lock(m_mutex);
    m_hadHead = true;
    m_isInBody = true;
    m_bodyBytes = 0;
    m_bodyMark = 0;
    m_bodyGrewAt = std::chrono::steady_clock::now();
}

void connection_link::onBody(std::size_t bytes)
{
    {
        const std::lock_guard lock(m_mutex);
        m_bodyBytes = bytes;
        if (bytes >= m_bodyMark + leastProgress) {
            m_bodyMark = bytes;
            m_bodyGrewAt = std::chrono::steady_clock::now();
        }
        if (!m_budget) {
            return;
        }
    }
    if (!m_claim) {
        if (bytes <= shortBodyBytes) {
            return;
        }
        // Called under the budget's lock, which is taken after that of a link.
        m_claim = m_budget->claim(m_address, [weak = weak_from_this(), strand = m_strand] {
            asio::post(strand, [weak] {
                if (const auto self = weak.lock()) {
                    self->resumeRead();
                }
            });
        });
    }
    if (!m_claim->resize(bytes)) {
        const std::lock_guard lock(m_mutex);
        if (!m_awaitsRoomSince) {
            m_awaitsRoomSince = std::chrono::steady_clock::now();
        }
    }
}

std::unique_ptr<core::byte_claim> connection_link::onRequest()
{
    const std::lock_guard lock(m_mutex);
    m_isInBody = false;
    m_awaitsRoomSince.reset();
    if (m_claim) {
        m_claim->settle();
    }
    return std::move(m_claim);
}

void connection_link::keepBody(std::string body)
{
    m_body = std::move(body);
}

std::string connection_link::takeBody()
{
    return std::exchange(m_body, {});
}

bool connection_link::awaitsRoom() const
{
    const std::lock_guard lock(m_mutex);
    return m_awaitsRoomSince.has_value() && !m_isRefused && !m_closed;
}

void connection_link::beginRead(server_socket &socket, const asio::any_io_executor &strand)
{
    m_reading = &socket;
    const std::lock_guard lock(m_mutex);
    m_strand = strand;
}

void connection_link::endRead()
{
    m_reading = nullptr;
}

void connection_link::deferRead(waiting_read read, const asio::any_io_executor &strand)
{
    const std::lock_guard lock(m_mutex);
    m_waitingRead = std::move(read);
    m_strand = strand;
}

void connection_link::dropRead()
{
    waiting_read dropped;
    {
        const std::lock_guard lock(m_mutex);
        dropped.swap(m_waitingRead);
    }
    if (dropped) {
        // It may be the last to hold the connection, which calls this.
        asio::post(m_executor, [read = std::move(dropped)] {});
    }
}

void connection_link::wakeRead()
{
    asio::any_io_executor strand;
    {
        const std::lock_guard lock(m_mutex);
        strand = m_strand;
    }
    if (strand) {
        asio::post(strand, [self = shared_from_this()] {
            self->resumeRead();
        });
    }
}

void connection_link::resumeRead()
{
    waiting_read waiting;
    {
        const std::lock_guard lock(m_mutex);
        waiting.swap(m_waitingRead);
        m_awaitsRoomSince.reset();
        m_bodyGrewAt = std::chrono::steady_clock::now();
    }
    if (waiting) {
        waiting(isRefused() ? asio::error_code(asio::error::timed_out) : asio::error_code());
    } else if (m_reading != nullptr && isRefused()) {
        m_reading->cancelRead();
    }
}

} // namespace medlarrack::http::detail
