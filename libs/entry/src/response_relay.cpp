#include "response_relay.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace medlarrack::entry {

namespace {

constexpr int statusOk = 200;

/// Headers of a target that say something about its connection or that we set.
constexpr std::array<std::string_view, 11> ownHeaders = {
    "connection",        "content-length", "date",    "idempotency-key", "keep-alive",  "server",
    "transfer-encoding", "trailer",        "upgrade", "x-instance",      "x-request-id"};

bool isOwnHeader(std::string_view name)
{
    std::string lower(name);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return std::find(ownHeaders.begin(), ownHeaders.end(), lower) != ownHeaders.end();
}

} // namespace

answer_relay::answer_relay(const call &request, std::shared_ptr<http::responder> responder, std::size_t maxAnswerBytes)
    : m_request(request)
    , m_responder(std::move(responder))
    , m_maxAnswerBytes(maxAnswerBytes)
{
}

void answer_relay::beginAttempt()
{
    m_headTaken = false;
    m_assembler.beginAttempt();
    if (!m_streaming) {
        m_assembler.restart();
        m_body.clear();
    }
}

answer_relay::result answer_relay::head(const peer::run_head &head, const std::string &instanceId)
{
    if (m_headTaken) {
        return result::broken;
    }
    m_headTaken = true;
    if (m_streaming) {
        // A resumed answer must be the same one.
        return head.status == m_status ? result::taken : result::broken;
    }
    m_status = head.status;
    m_headers = answerHeaders(head, instanceId);
    m_streaming = m_request.stream && head.status == statusOk;
    if (m_streaming && m_responder) {
        m_responder->begin(m_status, m_headers);
    }
    return result::taken;
}

answer_relay::result answer_relay::piece(const peer::run_chunk &piece)
{
    const auto fresh = m_headTaken ? m_assembler.take(piece) : std::nullopt;
    if (!fresh) {
        return result::broken;
    }
    if (m_streaming) {
        if (m_responder && !fresh->empty()) {
            m_responder->write(*fresh);
        }
        return result::taken;
    }
    if (m_body.size() + fresh->size() > m_maxAnswerBytes) {
        return result::too_large;
    }
    m_body += *fresh;
    return result::taken;
}

answer_relay::result answer_relay::end(const peer::run_end &end)
{
    if (!m_headTaken || !m_assembler.isWhole(end.totalBytes)) {
        return result::broken;
    }
    if (!m_responder) {
        return result::taken;
    }
    if (m_streaming) {
        m_responder->end();
    } else {
        m_responder->respond(m_status, std::move(m_headers), std::move(m_body));
    }
    m_responder.reset();
    return result::taken;
}

void answer_relay::fail(const error_answer &error)
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

void answer_relay::detach()
{
    m_responder.reset();
}

std::uint64_t answer_relay::relayedBytes() const
{
    return m_streaming ? m_assembler.taken() : 0;
}

bool answer_relay::started() const
{
    return m_streaming;
}

http::header_list answer_relay::answerHeaders(const peer::run_head &head, const std::string &instanceId) const
{
    http::header_list headers;
    for (const auto &[name, value] : head.headers) {
        if (!isOwnHeader(name)) {
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
