#include "server_connection.hpp"

#include "hello_header.hpp"

#include <asio/post.hpp>

#include <algorithm>

namespace medlarrack::peer::detail {

namespace {

constexpr std::string_view errorHeaderName = "medlarrack-error";
constexpr std::string_view statusBadRequest = "400";
constexpr std::string_view statusNotImplemented = "501";
constexpr std::string_view statusVersion = "505";
/// What this process and the HTTP/2 library keep for a stream without a body.
constexpr std::size_t emptyStreamBytes = 1'024;
/// A longer request is counted by itself.
constexpr std::size_t shortRequestBytes = 16'384;
/// Digits of a hello; the decoder takes no more.
constexpr std::size_t maxHelloDigits = 8'192;

std::string remoteAddress(const asio::ip::tcp::socket &socket)
{
    asio::error_code ignored;
    return socket.remote_endpoint(ignored).address().to_string();
}

} // namespace

server_connection::server_connection(asio::ip::tcp::socket socket, std::shared_ptr<server_owner> owner,
                                     const server_limits &limits)
    : connection(std::move(socket), side::server, {limits.lossTimeout, limits.idleTimeout})
    , m_owner(std::move(owner))
    , m_limits(limits)
    , m_address(remoteAddress(this->socket()))
    , m_acceptedAt(std::chrono::steady_clock::now())
{
}

std::shared_ptr<server_connection> server_connection::sharedThis()
{
    return std::static_pointer_cast<server_connection>(shared_from_this());
}

void server_connection::open()
{
    asio::post(socket().get_executor(), [self = sharedThis()] {
        if (self->isOpen()) {
            self->begin(self->m_limits.maxStreamsPerConnection);
        }
    });
}

void server_connection::drain()
{
    asio::post(socket().get_executor(), [self = sharedThis()] {
        if (!self->isOpen() || std::exchange(self->m_draining, true)) {
            return;
        }
        self->submitGoaway();
        self->pump();
    });
}

void server_connection::shutDown()
{
    asio::post(socket().get_executor(), [self = sharedThis()] {
        self->close("server stopped");
    });
}

void server_connection::act(std::int32_t stream, server_stream::action what)
{
    asio::post(socket().get_executor(), [self = sharedThis(), stream, what] {
        self->perform(stream, what);
        self->pump();
    });
}

void server_connection::perform(std::int32_t id, server_stream::action what)
{
    const auto stream = find(id);
    if (!stream || !isOpen()) {
        return;
    }
    switch (what) {
    case server_stream::action::refuse:
        resetStream(id, NGHTTP2_REFUSED_STREAM);
        break;
    case server_stream::action::reset:
        resetStream(id, NGHTTP2_INTERNAL_ERROR);
        break;
    case server_stream::action::send:
        if (!stream->hasOutput()) {
            break;
        }
        if (stream->responseStarted) {
            resumeSending(id);
        } else {
            startResponse(id, *stream);
        }
        break;
    }
}

void server_connection::startResponse(std::int32_t id, server_stream &stream)
{
    stream.responseStarted = true;
    const std::string helloText = toHeader(m_owner->self());
    submitResponse(id, {{":status", "200"}, {helloHeaderName, helloText}}, &stream);
}

// Answers without having handed the request to the handler; the client may take it as not processed.
void server_connection::reject(std::int32_t id, std::string_view status, const core::reason &why)
{
    const std::string text = why.code + ": " + why.message;
    const std::string helloText = toHeader(m_owner->self());
    submitResponse(id, {{":status", status}, {errorHeaderName, text}, {helloHeaderName, helloText}}, nullptr);
}

std::shared_ptr<server_stream> server_connection::find(std::int32_t stream) const
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? nullptr : found->second;
}

bool server_connection::isBusy() const
{
    return !m_streams.empty();
}

void server_connection::onHeadersBegin(std::int32_t id)
{
    // Trailers of a stream that is known already.
    if (find(id)) {
        return;
    }
    // Also while GOAWAY waits to be written: its last stream id is fixed, so a later stream must not run.
    if (m_draining) {
        resetStream(id, NGHTTP2_REFUSED_STREAM);
        return;
    }
    if (m_limits.budget && m_limits.budget->isOverfull()) {
        m_limits.budget->recordTurnedAway({"no_memory", "the memory for requests is used up", m_address});
        resetStream(id, NGHTTP2_REFUSED_STREAM);
        return;
    }
    if (m_streams.empty()) {
        expectAnswer();
    }
    const auto stream = std::make_shared<server_stream>(std::weak_ptr(sharedThis()), id);
    stream->openedAt = std::chrono::steady_clock::now();
    m_streams.emplace(id, stream);
    static_cast<void>(countRequest(*stream));
}

void server_connection::onHeader(std::int32_t id, std::string_view name, std::string_view value)
{
    if (name != helloHeaderName || value.size() > maxHelloDigits) {
        return;
    }
    if (const auto stream = find(id)) {
        stream->helloText = value;
    }
}

void server_connection::onHeadersEnd(std::int32_t)
{
}

void server_connection::onBytes(std::int32_t id, std::string_view bytes)
{
    grantWindow(0, bytes.size());
    grantWindow(id, bytes.size());
    const auto stream = find(id);
    if (!stream || stream->dispatched) {
        return;
    }
    stream->request += bytes;
    m_pendingRequestBytes += bytes.size();
    const bool tooLong = stream->request.size() > maxMessageBytes;
    if (tooLong || m_pendingRequestBytes > m_limits.maxPendingRequestBytes) {
        refuseIncomplete(id, *stream, "too_long", "its request is longer than allowed");
    } else if (!countRequest(*stream)) {
        refuseIncomplete(id, *stream, "no_memory", "there was no room for its request");
    }
}

void server_connection::refuseIncomplete(std::int32_t id, server_stream &stream, std::string_view code,
                                         std::string_view why)
{
    if (m_limits.budget) {
        m_limits.budget->recordTurnedAway({code, why, m_address, stream.request.size()});
    }
    releaseRequest(stream);
    stream.dispatched = true;
    resetStream(id, NGHTTP2_REFUSED_STREAM);
}

bool server_connection::countRequest(server_stream &stream)
{
    const auto &budget = m_limits.budget;
    if (!budget) {
        return true;
    }
    const std::size_t unclaimed =
        emptyStreamBytes + stream.helloText.size() + std::min(stream.request.capacity(), shortRequestBytes);
    budget->addUnclaimed(static_cast<std::ptrdiff_t>(unclaimed) - static_cast<std::ptrdiff_t>(stream.unclaimedBytes));
    stream.unclaimedBytes = unclaimed;
    if (stream.request.size() <= shortRequestBytes) {
        return true;
    }
    if (!stream.claim) {
        stream.claim = budget->claim(m_address, [] {});
    }
    return stream.claim->resize(stream.request.capacity() - shortRequestBytes);
}

void server_connection::releaseRequest(server_stream &stream)
{
    m_pendingRequestBytes -= stream.request.size();
    stream.request = std::string();
    stream.claim.reset();
    if (m_limits.budget) {
        m_limits.budget->addUnclaimed(-static_cast<std::ptrdiff_t>(std::exchange(stream.unclaimedBytes, 0)));
    }
}

// The hello rarely changes, so it is decoded only when its text does.
bool server_connection::readHello(std::int32_t id, const server_stream &stream)
{
    if (stream.helloText != m_lastHelloText || m_lastHelloText.empty()) {
        core::reason why;
        auto said = fromHeader(stream.helloText, why);
        if (!said) {
            reject(id, statusBadRequest, why);
            return false;
        }
        m_lastHello = std::move(*said);
        m_lastHelloText = stream.helloText;
    }
    const hello self = m_owner->self();
    if (versionsOverlap(self, m_lastHello)) {
        return true;
    }
    const auto range = [](const hello &value) {
        return std::to_string(value.lowestVersion) + " to " + std::to_string(value.highestVersion);
    };
    reject(id, statusVersion,
           {"version_mismatch",
            "this side speaks versions " + range(self) + ", the client speaks versions " + range(m_lastHello)});
    return false;
}

void server_connection::onEndOfStream(std::int32_t id)
{
    const auto stream = find(id);
    if (stream && !std::exchange(stream->dispatched, true)) {
        dispatch(id, stream);
    }
}

void server_connection::dispatch(std::int32_t id, const std::shared_ptr<server_stream> &stream)
{
    if (!readHello(id, *stream)) {
        return;
    }
    core::reason why{"bad_message", "the stream ended before a whole message"};
    decoder incoming;
    const bool whole = incoming.feed(stream->request, why) && !incoming.midMessage();
    releaseRequest(*stream);
    if (!whole) {
        reject(id, statusBadRequest, why);
        return;
    }
    auto request = incoming.next(why);
    if (!request) {
        if (incoming.skipped() > 0) {
            reject(id, statusNotImplemented, {"unknown_message", "this side doesn't know the message's type"});
        } else {
            reject(id, statusBadRequest, why);
        }
        return;
    }
    if (m_limits.budget && m_limits.budget->isOverfull()) {
        m_limits.budget->recordTurnedAway({"no_memory", "the memory for requests is used up", m_address});
        resetStream(id, NGHTTP2_REFUSED_STREAM);
        return;
    }
    m_hadRequest = true;
    m_owner->streamOpened();
    stream->handed = true;
    m_owner->dispatch(m_lastHello, std::move(*request), std::make_shared<reply_handle>(stream));
}

void server_connection::onHeadersLeaving(std::int32_t)
{
}

void server_connection::onStreamClosed(std::int32_t id, std::uint32_t)
{
    const auto stream = find(id);
    if (!stream) {
        return;
    }
    m_streams.erase(id);
    releaseRequest(*stream);
    m_closedUnflushed += stream->handed ? 1 : 0;
    stream->markClosed();
}

void server_connection::onGoaway()
{
}

void server_connection::onReceived()
{
}

void server_connection::onFlushed()
{
    if (m_closedUnflushed > 0) {
        m_owner->streamsClosed(std::exchange(m_closedUnflushed, 0));
    }
}

void server_connection::onTick(steady_time now)
{
    for (const auto &[id, stream] : m_streams) {
        if (!stream->dispatched && now - stream->openedAt >= m_limits.requestTimeout) {
            refuseIncomplete(id, *stream, "too_slow", "its request wasn't complete in time");
        }
    }
}

const std::string &server_connection::address() const
{
    return m_address;
}

void server_connection::addUntaken(std::ptrdiff_t bytes)
{
    if (bytes == 0) {
        return;
    }
    if (m_untaken.fetch_add(bytes) == 0) {
        m_untakenSince = std::chrono::steady_clock::now();
    }
    if (m_limits.budget) {
        m_limits.budget->addUnclaimed(bytes);
    }
}

std::size_t server_connection::untakenBytes() const
{
    return static_cast<std::size_t>(std::max<std::ptrdiff_t>(m_untaken, 0));
}

std::chrono::nanoseconds server_connection::takingStandstill(steady_time now) const
{
    return now - std::max(lastTaken(), m_untakenSince.load());
}

std::optional<std::chrono::nanoseconds> server_connection::timeWithoutRequest(steady_time now) const
{
    return m_hadRequest ? std::nullopt : std::optional<std::chrono::nanoseconds>(now - m_acceptedAt);
}

void server_connection::onClosed(const std::string &)
{
    for (const auto &[id, stream] : std::exchange(m_streams, {})) {
        releaseRequest(*stream);
        m_closedUnflushed += stream->handed ? 1 : 0;
        stream->markClosed();
    }
    onFlushed();
    m_owner->closed(*this);
}

} // namespace medlarrack::peer::detail
