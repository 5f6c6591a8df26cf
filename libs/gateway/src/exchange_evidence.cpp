// What an exchange learns about its replica and its request from responses and from runs that end without one.

#include "exchange.hpp"
#include "milliseconds.hpp"

#include <medlarrack/log/log.hpp>

#include <span>
#include <string>

namespace medlarrack::gateway {

namespace {

std::string toText(std::span<const std::uint64_t> fingerprints)
{
    std::string text;
    for (const std::uint64_t fingerprint : fingerprints) {
        text += text.empty() ? "" : ",";
        text += std::to_string(fingerprint);
    }
    return text;
}

} // namespace

void exchange::updateReplicaAvailability(const response_metadata &metadata)
{
    const core::monotonic_time now = m_services.clock.now();
    bool becameUnavailable = false;
    if (metadata.isLeaving && m_services.replicas.markLeaving(m_replicaId, m_replicaStartedAtMs)) {
        becameUnavailable = true;
        log::write(log::level::info, "replica leaves",
                   {{"replica", m_replicaId},
                    {"source", "answer"},
                    {"request_id", m_requestMetadata.id},
                    {"started_at_ms", m_replicaStartedAtMs},
                    {"sent_ms_ago", inMilliseconds(now - m_sentAt)}});
        m_services.metrics.count("medlarrack_gateway_leaving_replicas_total",
                                 "Replicas that said in an answer they leave", {.service = m_serviceName});
    }
    if (!metadata.invalidRetryAfter.empty()) {
        log::write(log::level::warning, "quiet time not read",
                   {{"replica", m_replicaId},
                    {"request_id", m_requestMetadata.id},
                    {"retry_after", metadata.invalidRetryAfter}});
    }
    if (metadata.retryAfter) {
        becameUnavailable = true;
        m_replica->startQuietPeriod(*metadata.retryAfter, now);
        log::write(log::level::info, "replica asks for quiet",
                   {{"replica", m_replicaId},
                    {"request_id", m_requestMetadata.id},
                    {"for_ms", metadata.retryAfter->count()},
                    {"until_ms", inMilliseconds(*m_replica->quietUntil - now)},
                    {"sent_ms_ago", inMilliseconds(now - m_sentAt)}});
        m_services.metrics.count("medlarrack_gateway_quiet_replicas_total", "Answers of replicas that asked for quiet",
                                 {.service = m_serviceName});
    }
    if (becameUnavailable) {
        m_services.adapterWaiters.engineClosed(*m_replica);
    }
}

bool exchange::refuseIfCrashing()
{
    const core::monotonic_time now = m_services.clock.now();
    if (m_services.crashDetector.statusOf(m_fingerprint, now) != suspects::suspect_status::refused) {
        return false;
    }
    m_isCrashProbe = m_history.runs == 0 && m_services.crashDetector.mayProbe(m_fingerprint, now);
    if (m_isCrashProbe) {
        return false;
    }
    m_services.metrics.count("medlarrack_gateway_crashing_requests_total",
                             "Requests not sent because they crash replicas", {.service = m_serviceName});
    refuse(refusal_cause::crashes_replicas, "suspected_crash", "the request crashed the replicas that ran it");
    return true;
}

suspects::lost_run exchange::makeLostRun(bool disconnected) const
{
    return {m_fingerprint, {m_replicaId, m_replicaStartedAtMs}, m_sentAt, disconnected};
}

bool exchange::hasAnswerBegun() const
{
    return m_eventSplitter.eventCount() > m_eventsBeforeRun || !m_responseBody.empty();
}

void exchange::recordLostRun(std::string_view why, bool disconnected)
{
    m_services.crashDetector.recordLostRun(makeLostRun(disconnected), m_services.clock.now());
    log::write(log::level::info, "run lost",
               {{"request_id", m_requestMetadata.id},
                {"fingerprint", m_fingerprint},
                {"replica", m_replica->record.id},
                {"why", why},
                {"ran_ms", inMilliseconds(m_services.clock.now() - m_sentAt)},
                {"answer_begun", hasAnswerBegun()},
                {"parts", toText(m_requestMetadata.sharedParts)}});
    m_services.metrics.count("medlarrack_gateway_lost_runs_total", "Runs that ended without their replica's answer",
                             {.service = m_serviceName});
}

} // namespace medlarrack::gateway
