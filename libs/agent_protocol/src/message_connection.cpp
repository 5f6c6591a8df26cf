#include <medlarrack/agent_protocol/message_connection.hpp>

#include <utility>

namespace medlarrack::agent_protocol {

namespace {

/// Above this number of unsent bytes the peer counts as not reading; a status takes about 1 KB.
constexpr std::size_t maxQueuedBytes = 1'048'576;

} // namespace

message_connection::message_connection(std::shared_ptr<http1::byte_stream> stream, message_traffic &sent,
                                       std::function<void(const message &)> onMessage,
                                       std::function<void(std::string_view)> onLost)
    : m_stream(std::move(stream))
    , m_sent(sent)
    , m_onMessage(std::move(onMessage))
    , m_onLost(std::move(onLost))
{
    m_stream->setListener(this);
}

message_connection::~message_connection()
{
    m_stream->close();
}

void message_connection::connect(const asio::ip::tcp::endpoint &to, std::chrono::milliseconds limit)
{
    m_stream->startReading();
    m_stream->connect(to, limit);
}

void message_connection::start()
{
    m_stream->startReading();
}

void message_connection::send(const message &value)
{
    sendEncoded(value.index(), encode(value));
}

void message_connection::sendEncoded(std::size_t type, std::string_view bytes)
{
    if (m_failed) {
        return;
    }
    if (m_stream->queued() > maxQueuedBytes) {
        fail("the send buffer is full: the peer is not reading");
        return;
    }
    m_sent.add(type, bytes.size());
    m_stream->write(bytes);
}

void message_connection::fail(std::string why)
{
    m_failed = true;
    m_stream->fail(std::move(why));
}

void message_connection::sendPaced(std::function<std::optional<message>()> next)
{
    m_next = std::move(next);
    sendNext();
}

void message_connection::sendNext()
{
    while (m_next && !m_failed && m_stream->queued() == 0) {
        if (const auto read = m_next()) {
            send(*read);
        } else {
            m_next = nullptr;
        }
    }
}

std::size_t message_connection::unsentBytes() const
{
    return m_stream->queued();
}

void message_connection::onBytes(std::string_view bytes)
{
    m_decoder.feed(bytes);
    core::reason why;
    // A handler may send, and the connection fail thereby.
    while (!m_failed) {
        const auto read = m_decoder.next(why);
        if (!read) {
            break;
        }
        m_onMessage(*read);
    }
    if (!m_failed && m_decoder.failed()) {
        fail(why.message);
    }
}

void message_connection::onWritten()
{
    sendNext();
}

void message_connection::onPeerEnd()
{
    m_stream->close();
    const auto lost = m_onLost;
    lost("the peer closed the connection");
}

void message_connection::onLost(std::string_view why)
{
    const auto lost = m_onLost;
    lost(why);
}

} // namespace medlarrack::agent_protocol
