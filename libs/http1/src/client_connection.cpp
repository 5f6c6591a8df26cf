#include <medlarrack/http1/client_connection.hpp>

#include <charconv>
#include <utility>

namespace medlarrack::http1 {

namespace {

/// The timeout of a Keep-Alive header ("timeout=5, max=100"); zero without one.
std::chrono::seconds keepAliveTimeout(std::string_view value)
{
    constexpr std::string_view key = "timeout=";
    const std::size_t found = value.find(key);
    int seconds = 0;
    if (found != std::string_view::npos) {
        const std::string_view digits = value.substr(found + key.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    }
    return std::chrono::seconds(seconds);
}

} // namespace

client_connection::client_connection(asio::io_context &context, const response_limits &limits)
    : m_stream(std::make_shared<byte_stream>(context))
    , m_limits(limits)
    , m_parser(message_kind::response, limits.maxHeadBytes)
{
    m_stream->setListener(this);
    // A server may answer and close before it has read the whole request.
    m_stream->readPastFailedWrites();
}

client_connection::~client_connection()
{
    m_stream->close();
}

void client_connection::connect(const asio::ip::tcp::endpoint &to, std::chrono::milliseconds limit)
{
    m_stream->startReading();
    m_stream->connect(to, limit);
}

void client_connection::send(std::string_view request, call_observer &observer, bool headRequest)
{
    ++m_calls;
    m_observer = &observer;
    m_headRequest = headRequest;
    m_headSeen = false;
    m_skipping = false;
    m_interimResponses = 0;
    m_droppedBytes = 0;
    m_messageBytes = 0;
    m_parser.reset(headRequest);
    m_requestEnd = m_stream->sent() + m_stream->queued() + request.size();
    m_stream->write(request);
}

void client_connection::cancel()
{
    m_observer = nullptr;
    m_reusable = false;
    m_stream->close();
}

void client_connection::pause()
{
    m_stream->stopReading();
}

void client_connection::resume()
{
    m_stream->startReading();
}

void client_connection::closeAfterAnswer()
{
    m_reusable = false;
}

bool client_connection::isReusable() const
{
    return m_reusable && m_observer == nullptr && m_stream->isOpen();
}

bool client_connection::hasUnreadBytes() const
{
    return m_stream->hasUnreadBytes();
}

bool client_connection::hasUnreadInput() const
{
    return m_stream->hasUnreadInput();
}

std::size_t client_connection::calls() const
{
    return m_calls;
}

bool client_connection::hasAnswered() const
{
    return m_answered;
}

bool client_connection::responseEndsWithConnection() const
{
    return m_parser.endsWithStream();
}

std::chrono::seconds client_connection::keepAlive() const
{
    return m_keepAlive;
}

void client_connection::onConnected()
{
    m_connected = true;
}

void client_connection::onBytes(std::string_view bytes)
{
    if (m_observer == nullptr) {
        // Nobody asked: a late second answer, or no answer at all.
        m_reusable = false;
        m_stream->close();
        return;
    }
    const auto self = shared_from_this();
    while (!bytes.empty() && m_observer != nullptr) {
        const std::size_t consumed = m_parser.feed(bytes);
        bytes.remove_prefix(consumed);
        if (m_parser.state() == parse_state::complete && !bytes.empty()) {
            m_reusable = m_reusable && (m_skipping || m_parser.head().status < 200);
        }
        advance();
        if (m_observer != nullptr && !countDropped(consumed)) {
            fail("the server sends too much that is no answer to this request");
        }
        if (consumed == 0) {
            break;
        }
    }
}

void client_connection::advance()
{
    switch (m_parser.state()) {
    case parse_state::head:
        return;
    case parse_state::malformed:
        fail("malformed answer: " + std::string(m_parser.fault()));
        return;
    case parse_state::head_too_long:
        fail("the head of the answer is too long");
        return;
    case parse_state::body:
    case parse_state::complete:
        break;
    }
    if (!m_headSeen) {
        m_headSeen = true;
        m_interimResponses += m_parser.head().status < 200 ? 1 : 0;
        m_skipping = m_parser.head().status < 200 || m_observer->onHead(m_parser.head()) == head_verdict::skip;
        m_skippedAny = m_skippedAny || (m_skipping && m_parser.head().status >= 200);
        m_answered = m_answered || m_parser.head().status >= 200;
    }
    if (m_observer == nullptr) {
        return;
    }
    if (m_skipping) {
        m_parser.body().clear();
    } else if (!m_parser.body().empty()) {
        m_observer->onBody(m_parser.body());
    }
    if (m_observer != nullptr && m_parser.state() == parse_state::complete) {
        complete();
    }
}

bool client_connection::countDropped(std::size_t bytes)
{
    m_messageBytes += bytes;
    const bool completed = !m_headSeen && !m_parser.started();
    if (m_skipping || completed) {
        m_droppedBytes += std::exchange(m_messageBytes, 0);
    }
    return m_droppedBytes <= m_limits.maxDroppedBytes && m_interimResponses <= m_limits.maxInterimResponses;
}

void client_connection::complete()
{
    m_reusable = m_reusable && m_parser.keepsAlive();
    if (m_skipping) {
        m_parser.reset(m_headRequest);
        m_headSeen = false;
        m_skipping = false;
        return;
    }
    if (const std::string_view value = m_parser.head().value("Keep-Alive"); !value.empty()) {
        m_keepAlive = keepAliveTimeout(value);
    }
    // An early answer: the server may take the rest of the request for the next one.
    const bool allSent = m_stream->sent() >= m_requestEnd;
    m_reusable = m_reusable && allSent && !m_skippedAny;
    call_observer *observer = std::exchange(m_observer, nullptr);
    if (m_reusable) {
        // The observer may have paused on the last bytes; the next answer would never be read.
        m_stream->startReading();
    } else {
        m_stream->close();
    }
    observer->onComplete();
}

void client_connection::onPeerEnd()
{
    const auto self = shared_from_this();
    m_reusable = false;
    if (m_observer == nullptr) {
        m_stream->close();
        return;
    }
    // A process that dies closes its connections in order too. The end marks a whole body only if the server had taken
    // the whole request before: then the packet that ended the stream acknowledges it.
    const bool duringRequest = m_stream->hasUnacknowledgedBytes();
    if (!duringRequest && m_parser.finish() == parse_state::complete) {
        advance();
    }
    if (m_observer != nullptr) {
        fail(duringRequest ? "the server closed the connection during the request"
                           : "the server closed the connection");
    }
}

void client_connection::onLost(std::string_view why)
{
    const auto self = shared_from_this();
    m_reusable = false;
    fail(why);
}

void client_connection::fail(std::string_view why)
{
    m_reusable = false;
    call_observer *observer = std::exchange(m_observer, nullptr);
    m_stream->close();
    if (observer == nullptr) {
        return;
    }
    call_progress progress = call_progress::not_sent;
    if (m_connected || m_calls > 1) {
        const bool responded = m_parser.started() || m_skippedAny || m_interimResponses > 0;
        progress = responded ? call_progress::answered : call_progress::sent;
    }
    observer->onFailed(progress, why);
}

} // namespace medlarrack::http1
