#pragma once

#include <nghttp2/nghttp2.h>

namespace medlarrack::peer::detail {

class connection;

/// Translates nghttp2's callbacks into the hooks of a connection.
struct session_callbacks
{
    /// Makes a client or server session for a connection; null when memory is short.
    [[nodiscard]] static nghttp2_session *makeSession(connection &owner, bool asClient);

private:
    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *owner);
    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const uint8_t *name, size_t nameLength,
                        const uint8_t *value, size_t valueLength, uint8_t, void *owner);
    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *owner);
    static int onData(nghttp2_session *, uint8_t, int32_t stream, const uint8_t *data, size_t length, void *owner);
    static int onBeforeSend(nghttp2_session *, const nghttp2_frame *frame, void *owner);
    static int onStreamClose(nghttp2_session *, int32_t stream, uint32_t errorCode, void *owner);
};

} // namespace medlarrack::peer::detail
