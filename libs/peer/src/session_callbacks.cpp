#include "session_callbacks.hpp"

#include "connection.hpp"

#include <memory>
#include <string_view>

namespace medlarrack::peer::detail {

namespace {

constexpr std::uint64_t resetsAtOnce = 10'000;
constexpr std::uint64_t resetsPerSecond = 10'000;

connection &ownerOf(void *pointer)
{
    return *static_cast<connection *>(pointer);
}

std::string_view viewOf(const uint8_t *bytes, size_t length)
{
    return {reinterpret_cast<const char *>(bytes), length};
}

} // namespace

int session_callbacks::onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *owner)
{
    ownerOf(owner).onHeadersBegin(frame->hd.stream_id);
    return 0;
}

int session_callbacks::onHeader(nghttp2_session *, const nghttp2_frame *frame, const uint8_t *name, size_t nameLength,
                                const uint8_t *value, size_t valueLength, uint8_t, void *owner)
{
    ownerOf(owner).onHeader(frame->hd.stream_id, viewOf(name, nameLength), viewOf(value, valueLength));
    return 0;
}

int session_callbacks::onFrame(nghttp2_session *, const nghttp2_frame *frame, void *owner)
{
    connection &target = ownerOf(owner);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
        target.onGoaway();
        return 0;
    }
    const bool carriesStream = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (frame->hd.type == NGHTTP2_HEADERS) {
        target.onHeadersEnd(frame->hd.stream_id);
    }
    if (carriesStream && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        target.onEndOfStream(frame->hd.stream_id);
    }
    return 0;
}

int session_callbacks::onData(nghttp2_session *, uint8_t, int32_t stream, const uint8_t *data, size_t length,
                              void *owner)
{
    ownerOf(owner).onBytes(stream, viewOf(data, length));
    return 0;
}

int session_callbacks::onBeforeSend(nghttp2_session *, const nghttp2_frame *frame, void *owner)
{
    if (frame->hd.type == NGHTTP2_HEADERS) {
        ownerOf(owner).onHeadersLeaving(frame->hd.stream_id);
    }
    return 0;
}

int session_callbacks::onStreamClose(nghttp2_session *, int32_t stream, uint32_t errorCode, void *owner)
{
    ownerOf(owner).onStreamClosed(stream, errorCode);
    return 0;
}

nghttp2_session *session_callbacks::makeSession(connection &owner, bool asClient)
{
    nghttp2_session_callbacks *rawCallbacks = nullptr;
    nghttp2_option *rawOptions = nullptr;
    if (nghttp2_session_callbacks_new(&rawCallbacks) != 0 || nghttp2_option_new(&rawOptions) != 0) {
        nghttp2_session_callbacks_del(rawCallbacks);
        return nullptr;
    }
    const std::unique_ptr<nghttp2_session_callbacks, decltype(&nghttp2_session_callbacks_del)> callbacks(
        rawCallbacks, &nghttp2_session_callbacks_del);
    const std::unique_ptr<nghttp2_option, decltype(&nghttp2_option_del)> options(rawOptions, &nghttp2_option_del);
    nghttp2_session_callbacks_set_on_begin_headers_callback(rawCallbacks, &onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(rawCallbacks, &session_callbacks::onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(rawCallbacks, &onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(rawCallbacks, &onData);
    nghttp2_session_callbacks_set_before_frame_send_callback(rawCallbacks, &onBeforeSend);
    nghttp2_session_callbacks_set_on_stream_close_callback(rawCallbacks, &onStreamClose);
    // Windows are given back by grantWindow(), so that a paused stream keeps its sender waiting.
    nghttp2_option_set_no_auto_window_update(rawOptions, 1);
    // The library's own limit, 33 a second, would close a connection whose callers go away often.
    nghttp2_option_set_stream_reset_rate_limit(rawOptions, resetsAtOnce, resetsPerSecond);
    nghttp2_session *session = nullptr;
    if (asClient) {
        nghttp2_session_client_new2(&session, rawCallbacks, &owner, rawOptions);
    } else {
        nghttp2_session_server_new2(&session, rawCallbacks, &owner, rawOptions);
    }
    return session;
}

} // namespace medlarrack::peer::detail
