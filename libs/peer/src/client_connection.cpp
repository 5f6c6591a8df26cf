#include "client_connection.hpp"

#include "hello_header.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <optional>

namespace medlarrack::peer::detail {

namespace {

constexpr int statusOk = 200;
constexpr int minStatus = 100;
constexpr int maxStatus = 599;
constexpr std::size_t statusDigits = 3;
constexpr std::string_view errorHeaderName = "medlarrack-error";

/// The status that a response states; nothing unless it is a number of three digits from 100 to 599.
std::optional<int> parseStatus(std::string_view text)
{
    int status = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), status);
    const bool isWhole = error == std::errc() && end == text.data() + text.size() && text.size() == statusDigits;
    return isWhole && status >= minStatus && status <= maxStatus ? std::optional(status) : std::nullopt;
}

} // namespace

std::size_t client_stream::pull(std::uint8_t *buffer, std::size_t length, bool &atEnd)
{
    const std::size_t count = std::min(length, request.size() - requestSent);
    std::memcpy(buffer, request.data() + requestSent, count);
    requestSent += count;
    atEnd = requestSent == request.size();
    return count;
}

void client_stream::finish(stream_end end, const std::string &detail)
{
    if (ended) {
        return;
    }
    ended = true;
    // Moved out, so that what the callbacks hold is released with them.
    const stream_callbacks last = std::exchange(callbacks, {});
    if (last.onEnd) {
        last.onEnd(end, detail);
    }
}

client_connection::client_connection(asio::ip::tcp::socket socket, std::weak_ptr<client_owner> owner, endpoint to,
                                     const client_limits &limits)
    : connection(std::move(socket), side::client, {limits.lossTimeout, limits.idleTimeout})
    , m_owner(std::move(owner))
    , m_to(std::move(to))
    , m_connectTimeout(limits.connectTimeout)
    , m_lossTimeout(limits.lossTimeout)
    , m_authority(m_to.address + ":" + std::to_string(m_to.port))
    , m_connectTimer(this->socket().get_executor())
{
}

std::shared_ptr<client_connection> client_connection::sharedThis()
{
    return std::static_pointer_cast<client_connection>(shared_from_this());
}

void client_connection::open()
{
    asio::error_code error;
    const auto address = asio::ip::make_address(m_to.address, error);
    if (error) {
        asio::post(socket().get_executor(), [self = sharedThis()] {
            self->close("connect_failed: not an IP address");
        });
        return;
    }
    asio::post(socket().get_executor(), [self = sharedThis(), address] {
        self->m_connectTimer.expires_after(self->m_connectTimeout);
        self->m_connectTimer.async_wait([weak = self->weak_from_this()](const asio::error_code &waitError) {
            const auto locked = std::static_pointer_cast<client_connection>(weak.lock());
            if (locked && !waitError && !locked->hasSession()) {
                locked->close("connect_failed: timeout");
            }
        });
        self->socket().async_connect({address, self->m_to.port}, [self](const asio::error_code &connectError) {
            self->onConnected(connectError);
        });
    });
}

void client_connection::onConnected(const asio::error_code &error)
{
    if (!isOpen()) {
        return;
    }
    m_connectTimer.cancel();
    if (error) {
        close("connect_failed: " + error.message());
        return;
    }
    // Streams wait until the peer has spoken: a peer that closes before (it drains, or has all the connections it
    // takes) has then provably not been asked anything.
    m_verifying = true;
    begin(0);
}

void client_connection::reserve()
{
    ++m_active;
    m_lastUsed = std::chrono::steady_clock::now().time_since_epoch().count();
}

void client_connection::start(std::shared_ptr<client_stream> stream)
{
    asio::post(socket().get_executor(), [self = sharedThis(), stream = std::move(stream)] {
        self->submit(stream);
        self->pump();
    });
}

void client_connection::submit(const std::shared_ptr<client_stream> &stream)
{
    if (stream->cancelled) {
        end(stream, stream_end::cancelled, "cancelled before it was sent");
        return;
    }
    const auto owner = m_owner.lock();
    if (!owner) {
        end(stream, stream_end::not_processed, "client stopped");
        return;
    }
    if (!isOpen() && !hasSession()) {
        end(stream, stream_end::not_processed, m_closeDetail);
        return;
    }
    if (!isOpen() || m_draining) {
        --m_active;
        owner->reroute(stream);
        return;
    }
    if (!hasSession() || m_verifying) {
        m_waiting.push_back(stream);
        return;
    }
    // After a long silence the peer may be gone without a trace here; a ping first keeps the request provably unsent.
    if (m_streams.empty() && std::chrono::steady_clock::now() - lastReceived() > m_lossTimeout) {
        m_verifying = true;
        m_waiting.push_back(stream);
        expectAnswer();
        sendPing();
        return;
    }
    if (m_streams.empty()) {
        expectAnswer();
    }
    const std::string helloText = toHeader(owner->self());
    const std::int32_t id = submitRequest({{":method", "POST"},
                                           {":scheme", "http"},
                                           {":authority", m_authority},
                                           {":path", "/medlarrack/v1"},
                                           {helloHeaderName, helloText}},
                                          *stream);
    if (id < 0) {
        end(stream, stream_end::not_processed, "no stream id left");
        m_draining = true;
        owner->detach(*this);
        submitGoaway();
        return;
    }
    stream->wireId = id;
    m_streams.emplace(id, stream);
}

void client_connection::submitWaiting()
{
    for (const auto &stream : std::exchange(m_waiting, {})) {
        submit(stream);
    }
}

void client_connection::update(std::shared_ptr<client_stream> stream)
{
    asio::post(socket().get_executor(), [self = sharedThis(), stream = std::move(stream)] {
        self->applyFlags(stream);
        self->pump();
    });
}

void client_connection::applyFlags(const std::shared_ptr<client_stream> &stream)
{
    if (std::erase(m_waiting, stream) > 0) {
        if (stream->cancelled) {
            end(stream, stream_end::cancelled, "cancelled before it was sent");
        } else {
            m_waiting.push_back(stream);
        }
        return;
    }
    if (find(stream->wireId) != stream || stream->ended || !isOpen()) {
        return;
    }
    if (stream->cancelled) {
        resetStream(stream->wireId, NGHTTP2_CANCEL);
        stream->finish(stream_end::cancelled, "cancelled");
        return;
    }
    if (!stream->paused) {
        grantWindow(stream->wireId, std::exchange(stream->withheldBytes, 0));
    }
}

void client_connection::end(const std::shared_ptr<client_stream> &stream, stream_end how, const std::string &detail)
{
    --m_active;
    m_lastUsed = std::chrono::steady_clock::now().time_since_epoch().count();
    if (const auto owner = m_owner.lock()) {
        owner->forget(stream->id);
    }
    stream->finish(how, detail);
}

void client_connection::retire()
{
    asio::post(socket().get_executor(), [self = sharedThis()] {
        if (!self->isOpen()) {
            return;
        }
        self->m_draining = true;
        if (!self->hasSession()) {
            self->close("retired");
            return;
        }
        self->submitGoaway();
        self->pump();
    });
}

void client_connection::shutDown()
{
    asio::post(socket().get_executor(), [self = sharedThis()] {
        self->close("client stopped");
    });
}

const endpoint &client_connection::peer() const
{
    return m_to;
}

std::size_t client_connection::active() const
{
    return m_active;
}

std::chrono::steady_clock::duration client_connection::lastUsed() const
{
    return std::chrono::steady_clock::duration(m_lastUsed.load());
}

std::shared_ptr<client_stream> client_connection::find(std::int32_t stream) const
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? nullptr : found->second;
}

bool client_connection::isBusy() const
{
    return !m_streams.empty() || !m_waiting.empty();
}

void client_connection::onHeadersBegin(std::int32_t)
{
}

void client_connection::onHeader(std::int32_t id, std::string_view name, std::string_view value)
{
    const auto stream = find(id);
    if (!stream) {
        return;
    }
    if (name == ":status") {
        if (const auto status = parseStatus(value)) {
            stream->status = *status;
        } else {
            stream->failure = "bad_status: the status is not a number from 100 to 599";
            resetStream(id, NGHTTP2_PROTOCOL_ERROR);
        }
    } else if (name == errorHeaderName) {
        stream->refusal = value;
    } else if (name == helloHeaderName && value != m_lastHello) {
        m_lastHello = value;
        core::reason why;
        const auto said = fromHeader(value, why);
        if (const auto owner = m_owner.lock(); owner && said) {
            owner->helloReceived(m_to, *said);
        }
    }
}

void client_connection::onHeadersEnd(std::int32_t)
{
}

void client_connection::onBytes(std::int32_t id, std::string_view bytes)
{
    grantWindow(0, bytes.size());
    const auto stream = find(id);
    // Nothing of a broken response is taken.
    if (!stream || stream->ended || !stream->failure.empty()) {
        return;
    }
    stream->responseBytes = true;
    if (stream->paused) {
        stream->withheldBytes += bytes.size();
    } else {
        grantWindow(id, bytes.size() + std::exchange(stream->withheldBytes, 0));
    }
    core::reason why;
    if (!stream->incoming.feed(bytes, why)) {
        stream->failure = why.code + ": " + why.message;
        resetStream(id, NGHTTP2_PROTOCOL_ERROR);
    }
    deliver(*stream);
}

// A callback may cancel its own stream; nothing is delivered after that.
void client_connection::deliver(client_stream &stream)
{
    core::reason why;
    while (!stream.ended && !stream.cancelled) {
        auto value = stream.incoming.next(why);
        if (!value) {
            return;
        }
        if (stream.callbacks.onMessage) {
            stream.callbacks.onMessage(std::move(*value));
        }
    }
}

void client_connection::onEndOfStream(std::int32_t id)
{
    if (const auto stream = find(id)) {
        stream->endSeen = true;
    }
}

void client_connection::onHeadersLeaving(std::int32_t id)
{
    if (const auto stream = find(id)) {
        stream->headLeft = true;
    }
}

void client_connection::onStreamClosed(std::int32_t id, std::uint32_t errorCode)
{
    const auto stream = find(id);
    if (!stream) {
        return;
    }
    m_streams.erase(id);
    const bool untouched = !stream->responseBytes && stream->status == 0;
    if (!stream->headLeft) {
        end(stream, stream_end::not_processed, "never sent");
    } else if (!stream->failure.empty()) {
        end(stream, stream_end::broken, stream->failure);
    } else if (errorCode == NGHTTP2_REFUSED_STREAM && untouched) {
        end(stream, stream_end::not_processed, "refused by the peer");
    } else if (!stream->refusal.empty() && stream->status != statusOk && !stream->responseBytes) {
        end(stream, stream_end::not_processed, stream->refusal);
    } else if (errorCode == NGHTTP2_NO_ERROR && stream->endSeen && stream->status == statusOk
               && !stream->incoming.midMessage()) {
        end(stream, stream_end::finished, "");
    } else {
        end(stream, stream_end::broken, std::string("stream reset: ") + nghttp2_http2_strerror(errorCode));
    }
}

void client_connection::onGoaway()
{
    m_draining = true;
    if (const auto owner = m_owner.lock()) {
        owner->detach(*this);
    }
}

void client_connection::onReceived()
{
    if (m_verifying) {
        m_verifying = false;
        submitWaiting();
    }
}

void client_connection::onTick(steady_time)
{
}

void client_connection::onFlushed()
{
}

void client_connection::endAll(const std::string &detail)
{
    for (const auto &stream : std::exchange(m_waiting, {})) {
        end(stream, stream_end::not_processed, detail);
    }
    for (const auto &[id, stream] : std::exchange(m_streams, {})) {
        end(stream, stream->headLeft ? stream_end::broken : stream_end::not_processed, detail);
    }
}

void client_connection::onClosed(const std::string &detail)
{
    m_connectTimer.cancel();
    m_closeDetail = detail;
    if (const auto owner = m_owner.lock()) {
        owner->closed(*this);
    }
    endAll(detail);
}

} // namespace medlarrack::peer::detail
