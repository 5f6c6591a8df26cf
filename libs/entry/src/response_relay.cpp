#include "response_relay.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace medlarrack::entry {

namespace {

constexpr int statusOk = 200;

/// Response headers of a target that aren't forwarded: they concern its own connection, or the entry sets them.
constexpr std::array<std::string_view, 11> excludedHeaders = {
    "connection",        "content-length", "date",    "idempotency-key", "keep-alive",  "server",
    "transfer-encoding", "trailer",        "upgrade", "x-instance",      "x-request-id"};

bool isExcludedHeader(std::string_view name)
{
    std::string lower(name);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return std::find(excludedHeaders.begin(), excludedHeaders.end(), lower) != excludedHeaders.end();
}

} // namespace

response_relay::response_relay(const call &request, std::shared_ptr<http::responder> responder,
                               std::size_t maxResponseBytes)
    : m_request(request)
    , m_responder(std::move(responder))
    , m_maxResponseBytes(maxResponseBytes)
{
}

void response_relay::startAttempt()
{
    m_headReceived = false;
    m_assembler.startAttempt();
    if (!m_streaming) {
        m_assembler.reset();
        m_body.clear();
    }
}

response_relay::result response_relay::onHead(const peer::run_head &head, const std::string &instanceId)
{
    if (m_headReceived) {
        return result::inconsistent;
    }
    m_headReceived = true;
    if (m_streaming) {
        // A different status shows that the resumed response is not the one that was begun.
        return head.status == m_status ? result::accepted : result::inconsistent;
    }
    m_status = head.status;
    m_headers = responseHeaders(head, instanceId);
    m_streaming = m_request.stream && head.status == statusOk;
    if (m_streaming && m_responder) {
        m_responder->begin(m_status, m_headers);
    }
    return result::accepted;
}

response_relay::result response_relay::onChunk(const peer::run_chunk &chunk)
{
    const auto newData = m_headReceived ? m_assembler.append(chunk) : std::nullopt;
    if (!newData) {
        return result::inconsistent;
    }
    if (m_streaming) {
        if (m_responder && !newData->empty()) {
            m_responder->write(*newData);
        }
        return result::accepted;
    }
    if (m_body.size() + newData->size() > m_maxResponseBytes) {
        return result::too_large;
    }
    m_body += *newData;
    return result::accepted;
}

response_relay::result response_relay::onEnd(const peer::run_end &end)
{
    if (!m_headReceived || !m_assembler.isComplete(end.totalBytes)) {
        return result::inconsistent;
    }
    if (!m_responder) {
        return result::accepted;
    }
    if (m_streaming) {
        m_responder->end();
    } else {
        m_responder->respond(m_status, std::move(m_headers), std::move(m_body));
    }
    m_responder.reset();
    return result::accepted;
}

void response_relay::fail(const error_response &error)
{
    if (!m_responder) {
        return;
    }
    if (m_streaming) {
        m_responder->write("data: " + toJson(error) + "\n\n");
        m_responder->abort();
    } else {
        respondError(*m_responder, error, m_request.requestId);
    }
    m_responder.reset();
}

void response_relay::detach()
{
    m_responder.reset();
}

std::uint64_t response_relay::relayedBytes() const
{
    return m_streaming ? m_assembler.receivedBytes() : 0;
}

bool response_relay::started() const
{
    return m_streaming;
}

http::header_list response_relay::responseHeaders(const peer::run_head &head, const std::string &instanceId) const
{
    http::header_list headers;
    for (const auto &[name, value] : head.headers) {
        if (!isExcludedHeader(name)) {
            headers.emplace_back(name, value);
        }
    }
    headers.emplace_back("X-Request-Id", m_request.requestId);
    headers.emplace_back("X-Instance", instanceId);
    if (m_request.kind == peer::work_kind::completion) {
        const auto stall = std::chrono::duration_cast<std::chrono::milliseconds>(head.loadStall);
        headers.emplace_back("X-Adapter", m_request.adapter.toString());
        headers.emplace_back("X-Load-Stall-Ms", std::to_string(stall.count()));
    }
    if (!m_request.idempotencyKey.empty()) {
        headers.emplace_back("Idempotency-Key", m_request.idempotencyKey);
    }
    return headers;
}

} // namespace medlarrack::entry
