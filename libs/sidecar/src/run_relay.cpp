#include "run_relay.hpp"

#include <algorithm>
#include <utility>

namespace medlarrack::sidecar::detail {

run_relay::run_relay(const peer::run_request &request, std::shared_ptr<peer::reply_stream> reply,
                     core::monotonic_time enqueued, metrics::registry &metrics)
    : m_attempt(request.attempt)
    , m_class(core::toString(request.priority))
    , m_operator(request.operatorName)
    , m_resumeFrom(request.resumeFrom)
    , m_reply(std::move(reply))
    , m_enqueued(enqueued)
    , m_metrics(metrics)
{
}

void run_relay::accepted(const core::instance_ref &by)
{
    m_reply->send(peer::run_accepted{m_attempt, by});
}

void run_relay::starting(const run_start &runStart)
{
    m_runStart = runStart;
    observe("medlarrack_sidecar_queue_wait_seconds", "Time in the queue besides the load stall.", runStart.queued);
    observe("medlarrack_sidecar_load_stall_seconds", "Time that a request waited for its adapter to load.",
            runStart.loadStall);
}

void run_relay::head(int status, const std::vector<std::pair<std::string, std::string>> &headers)
{
    sendHead(status, headers, /*replayed=*/false);
}

void run_relay::sendHead(int status, const std::vector<std::pair<std::string, std::string>> &headers, bool replayed)
{
    peer::run_head message;
    message.attempt = m_attempt;
    message.status = status;
    message.headers = headers;
    message.replayed = replayed;
    message.loadStall = std::chrono::duration_cast<std::chrono::microseconds>(m_runStart.loadStall);
    message.queued = std::chrono::duration_cast<std::chrono::microseconds>(m_runStart.queued);
    m_reply->send(message);
}

void run_relay::data(std::string_view piece, core::monotonic_time now)
{
    if (!m_firstByteSeen) {
        m_firstByteSeen = true;
        observe("medlarrack_sidecar_first_token_seconds", "Time from arrival to the first byte of the answer.",
                now - m_enqueued);
    }
    const std::uint64_t from = m_bytesSeen;
    m_bytesSeen += piece.size();
    if (m_bytesSeen <= m_resumeFrom) {
        return;
    }
    const std::uint64_t skipped = std::max(from, m_resumeFrom) - from;
    piece.remove_prefix(static_cast<std::size_t>(skipped));
    m_reply->send(peer::run_chunk{m_attempt, from + skipped, std::string(piece)});
}

void run_relay::end()
{
    countOutcome("ran");
    m_reply->send(peer::run_end{m_attempt, m_bytesSeen});
    m_reply->end();
}

void run_relay::refuse(peer::run_refused refused)
{
    countOutcome(refused.code);
    refused.attempt = m_attempt;
    m_reply->send(refused);
    m_reply->end();
}

void run_relay::replay(const idempotency::recorded_answer &answer)
{
    if (!answer.bodyKept) {
        peer::run_refused refused;
        refused.outcome = core::outcome::ran;
        refused.code = "answer_not_kept";
        refused.message = "the request ran, and its answer was too large to be kept";
        refuse(std::move(refused));
        return;
    }
    countOutcome("replayed");
    sendHead(answer.status, answer.headers, /*replayed=*/true);
    m_reply->send(peer::run_chunk{m_attempt, 0, answer.body});
    m_reply->send(peer::run_end{m_attempt, answer.body.size()});
    m_reply->end();
}

std::size_t run_relay::bufferedBytes() const
{
    return m_reply->bufferedBytes();
}

void run_relay::observe(const char *name, const char *help, std::chrono::nanoseconds time)
{
    m_metrics.observeSeconds(name, help, {m_class, {}, {}}, std::chrono::duration<double>(time).count());
}

void run_relay::countOutcome(std::string_view code)
{
    m_metrics.count("medlarrack_sidecar_requests_total", "Requests by how they ended.",
                    {m_class, m_operator, std::string(code)});
}

} // namespace medlarrack::sidecar::detail
