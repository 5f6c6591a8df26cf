#include "caller_connection.hpp"

#include <medlarrack/log/log.hpp>

#include <utility>

namespace medlarrack::gateway {

namespace {

/// Bytes of further requests that are read ahead while one is answered.
constexpr std::size_t readAhead = 65'536;
/// Bound on a head before the published state says one.
constexpr std::size_t defaultHeadBytes = 16'384;

constexpr int badRequest = 400;
constexpr int requestTimeout = 408;
constexpr int tooLarge = 413;
constexpr int headTooLarge = 431;

std::size_t headLimit(const exchange_services &services)
{
    return services.routes.isEmpty() ? defaultHeadBytes : services.routes.limits().maxHeadBytes;
}

} // namespace

caller_connection::caller_connection(exchange_services &services, std::shared_ptr<http1::byte_stream> stream)
    : m_services(services)
    , m_stream(std::move(stream))
    , m_parser(http1::message_kind::request, headLimit(services))
    , m_lastActivity(services.clock.now())
{
}

caller_connection::~caller_connection()
{
    if (m_exchange != nullptr) {
        m_exchange->callerGone();
    }
}

void caller_connection::start()
{
    m_stream->setListener(this);
    m_stream->startReading();
}

void caller_connection::onBytes(std::string_view bytes)
{
    const auto self = shared_from_this();
    m_lastActivity = m_services.clock.now();
    m_input.append(bytes);
    parse();
    if (!m_closed && m_input.size() > readAhead) {
        m_stream->stopReading();
    }
}

void caller_connection::parse()
{
    if (m_parsing) {
        return;
    }
    m_parsing = true;
    while (!m_closed && m_exchange == nullptr && !m_input.empty()) {
        if (!m_parser.started()) {
            m_requestStarted = m_lastActivity;
        }
        const std::size_t consumed = m_parser.feed(m_input);
        m_input.erase(0, consumed);
        switch (m_parser.state()) {
        case http1::parse_state::head:
            break;
        case http1::parse_state::body:
            continueIfExpected();
            [[fallthrough]];
        case http1::parse_state::complete:
            if (m_parser.body().size() > m_services.routes.limits().maxBodyBytes) {
                reject(tooLarge, "body_too_large", "the body is longer than allowed");
            } else if (m_parser.state() == http1::parse_state::complete) {
                begin();
            }
            break;
        case http1::parse_state::malformed:
            reject(badRequest, "malformed_request", m_parser.fault());
            break;
        case http1::parse_state::head_too_long:
            reject(headTooLarge, "head_too_large", "the head is longer than allowed");
            break;
        }
    }
    m_parsing = false;
}

void caller_connection::begin()
{
    const http1::message_head &head = m_parser.head();
    m_keepAlive = m_parser.keepsAlive();
    m_chunks = head.minorVersion >= 1;
    if (head.target.empty() || head.target.front() != '/' || !head.has("Host") || head.method == "CONNECT") {
        reject(badRequest, "malformed_request", "no host, or a target that is no path");
        return;
    }
    m_exchange =
        std::make_shared<exchange>(m_services, static_cast<caller_channel &>(*this), head, std::move(m_parser.body()));
    m_parser.reset();
    m_expectAnswered = false;
    const auto started = m_exchange;
    started->start();
}

void caller_connection::continueIfExpected()
{
    if (!m_expectAnswered && http1::equalsIgnoreCase(m_parser.head().value("Expect"), "100-continue")) {
        m_expectAnswered = true;
        m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void caller_connection::reject(int status, std::string_view code, std::string_view why)
{
    log::write(log::level::info, "connection refused", {{"status", status}, {"code", code}, {"why", why}});
    local_response answer;
    answer.status = status;
    answer.code = code;
    answer.message = why;
    answer.closesConnection = true;
    std::string out;
    m_services.format.appendLocalResponse(out, answer, "");
    m_stream->write(out);
    close();
}

void caller_connection::close()
{
    m_closed = true;
    m_stream->finish();
}

void caller_connection::write(std::string_view bytes)
{
    m_stream->write(bytes);
}

std::size_t caller_connection::queued() const
{
    return m_stream->queued();
}

bool caller_connection::closesAfterAnswer() const
{
    return m_draining || !m_keepAlive;
}

bool caller_connection::takesChunks() const
{
    return m_chunks;
}

void caller_connection::answered()
{
    m_lastActivity = m_services.clock.now();
    m_exchange = nullptr;
    if (closesAfterAnswer()) {
        close();
        return;
    }
    m_stream->startReading();
    parse();
}

void caller_connection::brokeOff()
{
    m_exchange = nullptr;
    m_closed = true;
    m_stream->abort();
}

void caller_connection::onWritten()
{
    if (m_exchange != nullptr) {
        m_exchange->callerDrained();
    }
}

void caller_connection::onPeerEnd()
{
    onLost("closed by the caller");
}

void caller_connection::onLost(std::string_view)
{
    const auto self = shared_from_this();
    m_closed = true;
    m_stream->close();
    if (const auto running = std::exchange(m_exchange, nullptr)) {
        running->callerGone();
    }
}

void caller_connection::tick(core::monotonic_time now)
{
    if (m_closed) {
        return;
    }
    const auto self = shared_from_this();
    if (m_exchange != nullptr) {
        const auto running = m_exchange;
        running->tick(now);
        return;
    }
    const catalog::request_limits &limits = m_services.routes.limits();
    if (!m_parser.started()) {
        if (now - m_lastActivity >= limits.idleTimeout) {
            close();
        }
        return;
    }
    const bool headLate = m_parser.state() == http1::parse_state::head && now - m_requestStarted >= limits.headTimeout;
    if (headLate || now - m_lastActivity >= limits.idleTimeout) {
        reject(requestTimeout, "request_timeout", "the request was not sent in time");
    }
}

void caller_connection::drain()
{
    m_draining = true;
}

void caller_connection::closeIfIdle()
{
    if (!m_closed && isIdle()) {
        close();
    }
}

bool caller_connection::isClosed() const
{
    return m_closed;
}

bool caller_connection::isIdle() const
{
    return m_exchange == nullptr && !m_parser.started();
}

} // namespace medlarrack::gateway
