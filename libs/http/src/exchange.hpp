#pragma once

#include <medlarrack/http/client.hpp>

#include <curl/curl.h>

#include <cstddef>
#include <string>

namespace medlarrack::http::detail {

/// One request and its answer on a libcurl easy handle. Not thread-safe: used on the client's strand only.
class exchange
{
public:
    exchange(client_request request, client_callbacks callbacks);
    exchange(const exchange &) = delete;
    exchange &operator=(const exchange &) = delete;
    ~exchange();

    /// Sets the handle up; false when the request can't be sent as HTTP.
    [[nodiscard]] bool prepare();
    [[nodiscard]] CURL *handle() const;

    /// Calls onEnd with what libcurl's end of the transfer shows.
    void finish(CURLcode code);
    /// Calls onEnd for an exchange that is broken off by this side or never started.
    void finishEarly(const char *errorCode, const char *errorMessage);

private:
    static std::size_t onHeaderLine(const char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onBody(const char *data, std::size_t size, std::size_t count, void *self);
    static int onBeforeSend(void *self, char *remoteAddress, char *localAddress, int remotePort, int localPort);

    /// False if the line can't be part of a response.
    [[nodiscard]] bool headerLine(std::string_view line);
    [[nodiscard]] bool wellFormed() const;
    /// Whether the answer's end is shown by more than the end of the connection.
    [[nodiscard]] bool framed() const;
    /// Whether all bytes that the answer's length announces have come.
    [[nodiscard]] bool hasWholeBody() const;
    void setMethodAndBody();
    void setHeaders();
    [[nodiscard]] client_progress brokenProgress() const;
    void end(client_result result);

    client_request m_request;
    client_callbacks m_callbacks;
    CURL *m_handle;
    curl_slist *m_headerLines = nullptr;
    /// Connections on which sending was about to begin.
    int m_sends = 0;
    int m_status = 0;
    std::size_t m_bodyBytes = 0;
    header_list m_headers;
    bool m_headDone = false;
};

} // namespace medlarrack::http::detail
