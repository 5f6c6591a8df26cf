#include "server_stream.hpp"

#include "server_connection.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace medlarrack::peer::detail {

namespace {

/// Sent bytes at the front of the queue that are worth moving the rest for.
constexpr std::size_t compactBytes = 64U << 10U;

} // namespace

server_stream::server_stream(std::weak_ptr<server_connection> connection, std::int32_t id)
    : m_connection(std::move(connection))
    , m_id(id)
{
}

std::size_t server_stream::pull(std::uint8_t *buffer, std::size_t length, bool &atEnd)
{
    const std::lock_guard lock(m_mutex);
    const std::size_t count = std::min(length, m_output.size() - m_taken);
    std::memcpy(buffer, m_output.data() + m_taken, count);
    m_taken += count;
    countUntaken(-static_cast<std::ptrdiff_t>(count));
    if (m_taken == m_output.size()) {
        m_output.clear();
        m_taken = 0;
    } else if (m_taken > compactBytes && m_taken > m_output.size() / 2) {
        m_output.erase(0, m_taken);
        m_taken = 0;
    }
    atEnd = m_ended && !m_reset && m_output.empty();
    return count;
}

void server_stream::markClosed()
{
    std::function<void()> callback;
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed) {
            return;
        }
        m_closed = true;
        countUntaken(-static_cast<std::ptrdiff_t>(m_output.size() - m_taken));
        m_output = std::string();
        m_taken = 0;
        callback = std::exchange(m_onClosed, nullptr);
        if (m_ended) {
            return;
        }
    }
    if (callback) {
        callback();
    }
}

bool server_stream::hasOutput()
{
    const std::lock_guard lock(m_mutex);
    m_wakePending = false;
    return m_sent || m_ended;
}

void server_stream::append(std::string bytes)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed || m_ended) {
            return;
        }
        m_sent = true;
        countUntaken(static_cast<std::ptrdiff_t>(bytes.size()));
        if (m_output.empty()) {
            m_output = std::move(bytes);
        } else {
            m_output += bytes;
        }
        if (std::exchange(m_wakePending, true)) {
            return;
        }
    }
    wake(action::send);
}

void server_stream::send(const message &value)
{
    std::string bytes = encode(value);
    if (bytes.size() > maxMessageBytes) {
        abandon();
        return;
    }
    append(std::move(bytes));
}

void server_stream::end()
{
    // What the callback holds may hold this stream; it is released outside the lock.
    std::function<void()> callback;
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed || m_ended) {
            return;
        }
        m_ended = true;
        callback = std::exchange(m_onClosed, nullptr);
        if (std::exchange(m_wakePending, true)) {
            return;
        }
    }
    wake(action::send);
}

void server_stream::refuse()
{
    breakOff(action::refuse);
}

void server_stream::abandon()
{
    breakOff(action::reset);
}

void server_stream::breakOff(action what)
{
    std::function<void()> callback;
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed || m_ended) {
            return;
        }
        m_ended = true;
        m_reset = true;
        // REFUSED_STREAM would be a lie once something was answered.
        if (m_sent) {
            what = action::reset;
        }
        callback = std::exchange(m_onClosed, nullptr);
    }
    wake(what);
}

std::size_t server_stream::bufferedBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_output.size() - m_taken;
}

void server_stream::setClosedCallback(std::function<void()> callback)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_ended) {
            return;
        }
        if (!m_closed) {
            m_onClosed = std::move(callback);
            return;
        }
    }
    callback();
}

void server_stream::countUntaken(std::ptrdiff_t bytes) const
{
    if (const auto connection = m_connection.lock()) {
        connection->addUntaken(bytes);
    }
}

void server_stream::wake(action what)
{
    if (const auto connection = m_connection.lock()) {
        connection->act(m_id, what);
    }
}

reply_handle::reply_handle(std::shared_ptr<server_stream> stream)
    : m_stream(std::move(stream))
{
}

reply_handle::~reply_handle()
{
    m_stream->abandon();
}

void reply_handle::send(const message &value)
{
    m_stream->send(value);
}

void reply_handle::end()
{
    m_stream->end();
}

void reply_handle::refuse()
{
    m_stream->refuse();
}

std::size_t reply_handle::bufferedBytes() const
{
    return m_stream->bufferedBytes();
}

void reply_handle::onClosed(std::function<void()> callback)
{
    m_stream->setClosedCallback(std::move(callback));
}

} // namespace medlarrack::peer::detail
