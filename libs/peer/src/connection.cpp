#include "connection.hpp"

#include "session_callbacks.hpp"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>

namespace medlarrack::peer::detail {

namespace {

constexpr std::uint32_t streamWindowBytes = 1U << 20U;
constexpr std::int32_t connectionWindowBytes = 64 << 20;
constexpr std::size_t readBytes = 64U << 10U;
/// Output buffers of more than this are given back when there is nothing to write.
constexpr std::size_t keptOutputBytes = 4U << 10U;
constexpr std::size_t writeBatchBytes = 128U << 10U;
/// Periods of the timer in one loss timeout; a ping is sent after one of silence.
constexpr int periodsPerLoss = 3;

std::vector<nghttp2_nv> toFields(const std::vector<header_field> &headers)
{
    std::vector<nghttp2_nv> fields;
    fields.reserve(headers.size());
    for (const header_field &header : headers) {
        nghttp2_nv field{};
        // nghttp2 copies names and values and doesn't write to them.
        field.name = const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(header.name.data()));
        field.namelen = header.name.size();
        field.value = const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(header.value.data()));
        field.valuelen = header.value.size();
        fields.push_back(field);
    }
    return fields;
}

} // namespace

ssize_t connection::pullFromSource(nghttp2_session *, std::int32_t, std::uint8_t *buffer, std::size_t length,
                                   std::uint32_t *flags, nghttp2_data_source *source, void *owner)
{
    bool atEnd = false;
    const std::size_t pulled = static_cast<body_source *>(source->ptr)->pull(buffer, length, atEnd);
    if (pulled > 0) {
        static_cast<connection *>(owner)->m_lastTaken = std::chrono::steady_clock::now();
    }
    if (atEnd) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    } else if (pulled == 0) {
        return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<ssize_t>(pulled);
}

nghttp2_data_provider connection::providerOf(body_source &body)
{
    nghttp2_data_provider provider{};
    provider.source.ptr = &body;
    provider.read_callback = &pullFromSource;
    return provider;
}

void connection::session_deleter::operator()(nghttp2_session *session) const
{
    nghttp2_session_del(session);
}

connection::connection(asio::ip::tcp::socket socket, side role, connection_times times)
    : m_socket(std::move(socket))
    , m_role(role)
    , m_times(times)
    , m_timer(m_socket.get_executor())
{
}

connection::~connection() = default;

void connection::begin(std::uint32_t maxStreams)
{
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    m_session.reset(session_callbacks::makeSession(*this, m_role == side::client));
    if (!m_session) {
        close("out of memory");
        return;
    }
    const std::array<nghttp2_settings_entry, 3> settings = {{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    // A server doesn't send ENABLE_PUSH.
    const std::size_t count = m_role == side::client ? settings.size() : settings.size() - 1;
    nghttp2_submit_settings(m_session.get(), NGHTTP2_FLAG_NONE, settings.data(), count);
    nghttp2_session_set_local_window_size(m_session.get(), NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
    m_lastReceived = std::chrono::steady_clock::now();
    m_silenceFrom = m_lastReceived;
    m_idleFrom = m_lastReceived;
    m_lastTick = m_lastReceived;
    armTimer();
    read();
    pump();
}

// Waits without a buffer, so that an unused connection holds none.
void connection::read()
{
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code &error) {
        self->onReadable(error);
    });
}

void connection::onReadable(const asio::error_code &error)
{
    if (m_closed) {
        return;
    }
    thread_local std::array<std::uint8_t, readBytes> input;
    asio::error_code failure = error;
    std::size_t length = 0;
    if (!failure) {
        length = m_socket.read_some(asio::buffer(input), failure);
    }
    if (failure == asio::error::would_block || failure == asio::error::try_again) {
        read();
        return;
    }
    if (failure) {
        close(m_finishing ? "ended in order" : "connection lost: " + failure.message());
        return;
    }
    if (take(input.data(), length)) {
        read();
    }
}

// Hands bytes received to the session; false when the connection has closed.
bool connection::take(const std::uint8_t *bytes, std::size_t length)
{
    m_lastReceived = std::chrono::steady_clock::now();
    m_pingOutstanding = false;
    m_heard = true;
    if (m_finishing) {
        return true;
    }
    const ssize_t taken = nghttp2_session_mem_recv(m_session.get(), bytes, length);
    if (taken < 0) {
        close(std::string("protocol error: ") + nghttp2_strerror(static_cast<int>(taken)));
        return false;
    }
    onReceived();
    pump();
    return !m_closed;
}

// Moves frames from the session to the output buffer; false when the session has failed.
bool connection::collectOutput()
{
    m_output.clear();
    while (m_output.size() < writeBatchBytes) {
        const std::uint8_t *data = nullptr;
        const ssize_t length = nghttp2_session_mem_send(m_session.get(), &data);
        if (length < 0) {
            close(std::string("protocol error: ") + nghttp2_strerror(static_cast<int>(length)));
            return false;
        }
        if (length == 0) {
            break;
        }
        m_output.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(length));
    }
    return true;
}

void connection::pump()
{
    if (m_closed || m_finishing || m_writing || !m_session || !collectOutput()) {
        return;
    }
    if (m_output.empty()) {
        if (m_output.capacity() > keptOutputBytes) {
            m_output = std::string();
        }
        onFlushed();
        if (nghttp2_session_want_read(m_session.get()) == 0 && nghttp2_session_want_write(m_session.get()) == 0) {
            finishInOrder();
        }
        return;
    }
    m_writing = true;
    asio::async_write(m_socket, asio::buffer(m_output),
                      [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                          self->m_writing = false;
                          if (self->m_closed) {
                              return;
                          }
                          if (error) {
                              self->close("connection lost: " + error.message());
                              return;
                          }
                          self->onFlushed();
                          self->pump();
                      });
}

// Closing a socket with unread input would make the kernel drop what the peer hasn't read yet; so only the sending
// half is closed here, and the rest when the peer closes its half or stays silent.
void connection::finishInOrder()
{
    m_finishing = true;
    onGoaway();
    m_silenceFrom = std::chrono::steady_clock::now();
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void connection::close(const std::string &detail)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_timer.cancel();
    asio::error_code ignored;
    m_socket.close(ignored);
    onClosed(detail);
}

void connection::submitGoaway()
{
    const std::int32_t last = nghttp2_session_get_last_proc_stream_id(m_session.get());
    nghttp2_submit_goaway(m_session.get(), NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
}

void connection::resetStream(std::int32_t stream, std::uint32_t errorCode)
{
    nghttp2_submit_rst_stream(m_session.get(), NGHTTP2_FLAG_NONE, stream, errorCode);
}

void connection::sendPing()
{
    if (!m_pingOutstanding) {
        m_pingOutstanding = true;
        nghttp2_submit_ping(m_session.get(), NGHTTP2_FLAG_NONE, nullptr);
    }
}

void connection::expectAnswer()
{
    m_silenceFrom = std::chrono::steady_clock::now();
}

void connection::grantWindow(std::int32_t stream, std::size_t bytes)
{
    if (stream == 0) {
        nghttp2_session_consume_connection(m_session.get(), bytes);
    } else {
        nghttp2_session_consume_stream(m_session.get(), stream, bytes);
    }
}

std::int32_t connection::submitRequest(const std::vector<header_field> &headers, body_source &body)
{
    const auto fields = toFields(headers);
    const auto provider = providerOf(body);
    return nghttp2_submit_request(m_session.get(), nullptr, fields.data(), fields.size(), &provider, nullptr);
}

void connection::submitResponse(std::int32_t stream, const std::vector<header_field> &headers, body_source *body)
{
    const auto fields = toFields(headers);
    if (body == nullptr) {
        nghttp2_submit_response(m_session.get(), stream, fields.data(), fields.size(), nullptr);
        return;
    }
    const auto provider = providerOf(*body);
    nghttp2_submit_response(m_session.get(), stream, fields.data(), fields.size(), &provider);
}

void connection::resumeSending(std::int32_t stream)
{
    nghttp2_session_resume_data(m_session.get(), stream);
}

bool connection::isOpen() const
{
    return !m_closed && !m_finishing;
}

bool connection::hasSession() const
{
    return m_session != nullptr;
}

connection::steady_time connection::lastReceived() const
{
    return m_lastReceived;
}

connection::steady_time connection::lastTaken() const
{
    return m_lastTaken;
}

asio::ip::tcp::socket &connection::socket()
{
    return m_socket;
}

std::chrono::milliseconds connection::period() const
{
    return std::max(m_times.loss / periodsPerLoss, std::chrono::milliseconds(1));
}

void connection::armTimer()
{
    m_timer.expires_after(period());
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
        const auto self = weak.lock();
        if (self && !error && !self->m_closed) {
            self->onTimer();
        }
    });
}

void connection::onTimer()
{
    const auto now = std::chrono::steady_clock::now();
    // A late timer means that this process was held up itself, so the peer's bytes may wait unread in the socket.
    if (now - m_lastTick > 2 * period()) {
        m_silenceFrom = now;
    }
    m_lastTick = now;
    const auto silence = now - std::max(m_lastReceived, m_silenceFrom);
    // A peer that has connected owes its settings.
    const bool busy = m_finishing || !m_heard || isBusy();
    if (busy) {
        m_idleFrom = now;
    }
    if (busy && silence >= m_times.loss) {
        close(m_finishing ? "ended in order" : "peer silent");
        return;
    }
    if (!busy && now - m_idleFrom >= m_times.idle) {
        close("idle");
        return;
    }
    onTick(now);
    if (busy && !m_finishing && silence >= period()) {
        sendPing();
    }
    pump();
    armTimer();
}

} // namespace medlarrack::peer::detail
