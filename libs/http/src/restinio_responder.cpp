#include "restinio_responder.hpp"

#include "field_name.hpp"
#include "status_text.hpp"

#include <utility>

namespace medlarrack::http::detail {

namespace {

restinio::http_status_line_t statusLine(int status)
{
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)}, std::string(statusText(status))};
}

} // namespace

restinio_responder::restinio_responder(restinio::request_handle_t request, std::shared_ptr<connection_link> link,
                                       std::shared_ptr<const connection_table> table, std::size_t maxBufferedBytes,
                                       std::chrono::seconds reusableFor, std::unique_ptr<core::byte_claim> claim)
    : m_link(std::move(link))
    , m_table(std::move(table))
    , m_maxBufferedBytes(maxBufferedBytes)
    , m_reusableFor(reusableFor)
    , m_claim(std::move(claim))
    , m_request(std::move(request))
{
    m_link->requestStarted();
}

restinio_responder::~restinio_responder()
{
    abort();
}

void restinio_responder::respond(int status, header_list headers, std::string body)
{
    const std::lock_guard lock(m_mutex);
    if (m_state != state::waiting) {
        return;
    }
    finish();
    auto builder = m_request->create_response(statusLine(status));
    appendHeaders(builder, headers);
    const std::size_t size = body.size();
    m_link->addWhole(size);
    builder.set_body(std::move(body));
    builder.done([link = m_link, size](const auto &) {
        link->removeWhole(size);
        link->requestFinished();
    });
}

void restinio_responder::begin(int status, header_list headers)
{
    const std::lock_guard lock(m_mutex);
    if (m_state != state::waiting) {
        return;
    }
    m_state = state::streaming;
    m_stream.emplace(m_request->create_response<restinio::chunked_output_t>(statusLine(status)));
    appendHeaders(*m_stream, headers);
    flushPending();
}

void restinio_responder::write(std::string_view piece)
{
    const std::lock_guard lock(m_mutex);
    if (m_state != state::streaming || piece.empty()) {
        return;
    }
    if (!m_link->addBuffered(piece.size(), m_maxBufferedBytes)) {
        // The caller reads too slowly. RESTinio drops what is queued once it notices.
        m_link->breakOff();
        return;
    }
    m_pending.append(piece);
    if (!m_writing) {
        flushPending();
    }
}

void restinio_responder::flushPending()
{
    const std::size_t size = m_pending.size();
    m_writing = true;
    m_stream->append_chunk(std::exchange(m_pending, {}));
    m_stream->flush([link = m_link, size, weak = weak_from_this()](const auto &error) {
        link->removeBuffered(size);
        // With an error RESTinio may call from within flush(), under the mutex; nothing is written then any more.
        if (error) {
            return;
        }
        if (const auto self = weak.lock()) {
            self->onWritten();
        }
    });
}

void restinio_responder::onWritten()
{
    const std::lock_guard lock(m_mutex);
    m_writing = false;
    if (m_state == state::streaming && !m_pending.empty()) {
        flushPending();
    }
}

void restinio_responder::end()
{
    const std::lock_guard lock(m_mutex);
    if (m_state != state::streaming) {
        return;
    }
    finish();
    const std::size_t size = m_pending.size();
    m_stream->append_chunk(std::exchange(m_pending, {}));
    m_stream->done([link = m_link, size](const auto &) {
        link->removeBuffered(size);
        link->requestFinished();
    });
}

void restinio_responder::abort()
{
    const std::lock_guard lock(m_mutex);
    if (m_state == state::ended) {
        return;
    }
    const bool streaming = m_state == state::streaming;
    finish();
    if (!streaming) {
        m_link->breakOff();
        return;
    }
    // Pieces written before go out first.
    m_stream->append_chunk(std::exchange(m_pending, {}));
    m_stream->flush([link = m_link](const auto &) {
        link->breakOff();
    });
}

void restinio_responder::onClosed(std::function<void()> callback)
{
    const std::lock_guard lock(m_mutex);
    if (m_state != state::ended && !m_watch) {
        m_watch = m_link->watch(std::move(callback));
    }
}

template<typename Builder>
void restinio_responder::appendHeaders(Builder &builder, const header_list &headers) const
{
    for (const auto &[name, value] : headers) {
        if (sameFieldName(name, "Connection")) {
            if (value == "close") {
                builder.connection_close();
            }
        } else if (!sameFieldName(name, "Content-Length") && !sameFieldName(name, "Transfer-Encoding")
                   && !sameFieldName(name, "Keep-Alive")) {
            builder.append_header(name, value);
        }
    }
    if (m_table->closesAfterResponses()) {
        builder.connection_close();
    }
    if (builder.header().should_keep_alive()) {
        builder.append_header("Keep-Alive", "timeout=" + std::to_string(m_reusableFor.count()));
    }
}

void restinio_responder::finish()
{
    m_state = state::ended;
    if (m_watch) {
        m_link->unwatch(*m_watch);
    }
}

} // namespace medlarrack::http::detail
