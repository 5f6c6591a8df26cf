#include "exchange.hpp"

#include "field_name.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace medlarrack::http::detail {

namespace {

/// Kept connections are given up before servers, ours included, close them as idle.
constexpr long maxIdleConnectionSeconds = 5;

bool hasControls(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](char c) {
        return c == '\r' || c == '\n' || c == '\0';
    });
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

/// Zero if the line has no valid status: three digits, from 100 to 599.
int statusOf(std::string_view statusLine)
{
    constexpr std::size_t statusDigits = 3;
    constexpr int minStatus = 100;
    constexpr int maxStatus = 599;
    const auto space = statusLine.find(' ');
    if (space == std::string_view::npos) {
        return 0;
    }
    const auto rest = trimmed(statusLine.substr(space));
    const auto digits = rest.substr(0, rest.find(' '));
    int status = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), status);
    const bool isNumber = error == std::errc() && end == digits.data() + digits.size() && digits.size() == statusDigits;
    return isNumber && status >= minStatus && status <= maxStatus ? status : 0;
}

std::optional<curl_off_t> lengthOf(std::string_view value)
{
    curl_off_t length = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), length);
    if (error != std::errc() || end != value.data() + value.size() || length < 0 || value.front() == '-') {
        return std::nullopt;
    }
    return length;
}

const char *errorCodeFor(CURLcode code, client_progress progress)
{
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return "timeout";
    }
    if (progress == client_progress::sent) {
        return "broken_answer";
    }
    return code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL ? "bad_request" : "connect_failed";
}

} // namespace

exchange::exchange(client_request request, client_callbacks callbacks)
    : m_request(std::move(request))
    , m_callbacks(std::move(callbacks))
    , m_handle(curl_easy_init())
{
}

exchange::~exchange()
{
    curl_easy_cleanup(m_handle);
    curl_slist_free_all(m_headerLines);
}

CURL *exchange::handle() const
{
    return m_handle;
}

bool exchange::wellFormed() const
{
    if (m_request.method.empty() || hasControls(m_request.method) || hasControls(m_request.url)) {
        return false;
    }
    return std::none_of(m_request.headers.begin(), m_request.headers.end(), [](const auto &field) {
        return field.first.empty() || hasControls(field.first) || hasControls(field.second);
    });
}

bool exchange::prepare()
{
    if (m_handle == nullptr || !wellFormed()) {
        return false;
    }
    curl_easy_setopt(m_handle, CURLOPT_URL, m_request.url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(m_handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(m_handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, static_cast<long>(m_request.timeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(m_request.connectTimeout.count()));
    if (m_request.minBytesPerSecond > 0) {
        curl_easy_setopt(m_handle, CURLOPT_LOW_SPEED_LIMIT, static_cast<long>(m_request.minBytesPerSecond));
        curl_easy_setopt(m_handle, CURLOPT_LOW_SPEED_TIME,
                         static_cast<long>(std::chrono::ceil<std::chrono::seconds>(m_request.stallTime).count()));
    }
    curl_easy_setopt(m_handle, CURLOPT_MAXAGE_CONN, maxIdleConnectionSeconds);
    curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, m_request.freshConnection ? 1L : 0L);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &exchange::onHeaderLine);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &exchange::onBody);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_PREREQFUNCTION, &exchange::onBeforeSend);
    curl_easy_setopt(m_handle, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
    setMethodAndBody();
    setHeaders();
    return true;
}

void exchange::setMethodAndBody()
{
    if (m_request.method == "HEAD") {
        curl_easy_setopt(m_handle, CURLOPT_NOBODY, 1L);
        return;
    }
    const bool mayOmitBody = m_request.method == "GET" || m_request.method == "DELETE";
    if (!mayOmitBody || !m_request.body.empty()) {
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_request.body.size()));
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_request.body.data());
    }
    curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
}

void exchange::setHeaders()
{
    // These two are libcurl's own ideas.
    m_headerLines = curl_slist_append(m_headerLines, "Expect:");
    if (!findHeader(m_request.headers, "Content-Type")) {
        m_headerLines = curl_slist_append(m_headerLines, "Content-Type:");
    }
    for (const auto &[name, value] : m_request.headers) {
        // A field without a value needs a semicolon in libcurl's list.
        const std::string line = value.empty() ? name + ";" : name + ": " + value;
        m_headerLines = curl_slist_append(m_headerLines, line.c_str());
    }
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headerLines);
}

std::size_t exchange::onHeaderLine(const char *data, std::size_t size, std::size_t count, void *self)
{
    // Fewer bytes than were given end the transfer.
    return static_cast<exchange *>(self)->headerLine({data, size * count}) ? size * count : 0;
}

std::size_t exchange::onBody(const char *data, std::size_t size, std::size_t count, void *self)
{
    auto &one = *static_cast<exchange *>(self);
    one.m_bodyBytes += size * count;
    if (one.m_callbacks.onData) {
        one.m_callbacks.onData({data, size * count});
    }
    return size * count;
}

int exchange::onBeforeSend(void *self, char * /*remoteAddress*/, char * /*localAddress*/, int /*remotePort*/,
                           int /*localPort*/)
{
    // libcurl repeats a request on a new connection when a kept one dies without an answer, although the server may
    // have run it. The second attempt is refused here.
    auto &sends = static_cast<exchange *>(self)->m_sends;
    ++sends;
    return sends == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

bool exchange::headerLine(std::string_view line)
{
    if (m_headDone) {
        // Trailers of a chunked body.
        return true;
    }
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) {
        line.remove_suffix(1);
    }
    if (line.starts_with("HTTP/")) {
        m_headers.clear();
        m_status = statusOf(line);
        return m_status != 0;
    }
    if (line.empty()) {
        // Interim answers (1xx) are followed by another head.
        if (m_status >= 200) {
            m_headDone = true;
            if (m_callbacks.onHead) {
                m_callbacks.onHead(m_status, m_headers);
            }
        }
        return true;
    }
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
        m_headers.emplace_back(std::string(line.substr(0, colon)), std::string(trimmed(line.substr(colon + 1))));
    }
    return true;
}

bool exchange::framed() const
{
    if (m_request.method == "HEAD" || m_status == 204 || m_status == 304) {
        return true;
    }
    // libcurl ends a body with its connection if it can't use what the head says of its length.
    std::size_t statements = 0;
    bool usable = true;
    for (const auto &[name, value] : m_headers) {
        if (sameFieldName(name, "Content-Length")) {
            ++statements;
            usable = usable && lengthOf(value);
        } else if (sameFieldName(name, "Transfer-Encoding")) {
            ++statements;
            usable = usable && sameFieldName(value, "chunked");
        }
    }
    return statements == 1 && usable;
}

bool exchange::hasWholeBody() const
{
    const auto length = findHeader(m_headers, "Content-Length");
    return m_headDone && framed() && length && lengthOf(*length) == static_cast<curl_off_t>(m_bodyBytes);
}

client_progress exchange::brokenProgress() const
{
    return m_sends == 0 ? client_progress::not_sent : client_progress::sent;
}

void exchange::finish(CURLcode code)
{
    client_result result;
    // A server may answer and close before it has read the whole request. libcurl reports that the upload failed.
    if ((code == CURLE_OK && m_headDone && framed()) || hasWholeBody()) {
        result.progress = client_progress::complete;
    } else {
        result.progress = brokenProgress();
        result.errorCode = errorCodeFor(code, result.progress);
        result.errorMessage = code == CURLE_OK ? "the answer's end isn't marked" : curl_easy_strerror(code);
        if (m_sends > 1) {
            result.errorMessage = "the kept connection closed before an answer";
        }
    }
    end(std::move(result));
}

void exchange::finishEarly(const char *errorCode, const char *errorMessage)
{
    client_result result;
    result.progress = brokenProgress();
    result.errorCode = errorCode;
    result.errorMessage = errorMessage;
    end(std::move(result));
}

void exchange::end(client_result result)
{
    result.status = m_headDone ? m_status : 0;
    result.headers = std::move(m_headers);
    if (m_callbacks.onEnd) {
        m_callbacks.onEnd(result);
    }
}

} // namespace medlarrack::http::detail
