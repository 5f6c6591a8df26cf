// What an exchange learns of its replica and of its request from answers and from runs that end without one.

#include "exchange.hpp"
#include "milliseconds.hpp"

#include <medlarrack/log/log.hpp>

namespace medlarrack::gateway {

void exchange::heed(const answer_facts &facts)
{
    const core::monotonic_time now = m_services.clock.now();
    bool closed = false;
    if (facts.isLeaving && m_services.replicas.saidLeaving(m_targetId, m_targetStart)) {
        closed = true;
        log::write(log::level::info, "replica leaves",
                   {{"replica", m_targetId},
                    {"source", "answer"},
                    {"request_id", m_facts.id},
                    {"started_at_ms", m_targetStart},
                    {"sent_ms_ago", inMilliseconds(now - m_sentAt)}});
        m_services.metrics.count("medlarrack_gateway_leaving_replicas_total",
                                 "Replicas that said in an answer they leave", {.service = m_service});
    }
    if (!facts.unreadQuietTime.empty()) {
        log::write(log::level::warning, "quiet time not read",
                   {{"replica", m_targetId}, {"request_id", m_facts.id}, {"retry_after", facts.unreadQuietTime}});
    }
    if (facts.quietTime) {
        closed = true;
        m_target->askedForQuiet(*facts.quietTime, now);
        log::write(log::level::info, "replica asks for quiet",
                   {{"replica", m_targetId},
                    {"request_id", m_facts.id},
                    {"for_ms", facts.quietTime->count()},
                    {"until_ms", inMilliseconds(*m_target->quietUntil - now)},
                    {"sent_ms_ago", inMilliseconds(now - m_sentAt)}});
        m_services.metrics.count("medlarrack_gateway_quiet_replicas_total", "Answers of replicas that asked for quiet",
                                 {.service = m_service});
    }
    if (closed) {
        m_services.waiters.engineClosed(*m_target);
    }
}

bool exchange::refuseCrashing()
{
    const core::monotonic_time now = m_services.clock.now();
    if (m_services.crashes.statusOf(m_fingerprint, now) != suspects::suspect_status::refused) {
        return false;
    }
    m_isProbe = m_history.runs == 0 && m_services.crashes.mayProbe(m_fingerprint, now);
    if (m_isProbe) {
        return false;
    }
    m_services.metrics.count("medlarrack_gateway_crashing_requests_total",
                             "Requests not sent because they crash replicas", {.service = m_service});
    refuse(refusal_cause::crashes_replicas, "suspected_crash", "the request crashed the replicas that ran it");
    return true;
}

suspects::lost_run exchange::lostRun(bool disconnected) const
{
    return {m_fingerprint, {m_targetId, m_targetStart}, m_sentAt, disconnected};
}

void exchange::runLost(std::string_view why, bool disconnected)
{
    m_services.crashes.recordLostRun(lostRun(disconnected), m_services.clock.now());
    log::write(log::level::info, "run lost",
               {{"request_id", m_facts.id},
                {"fingerprint", m_fingerprint},
                {"replica", m_target->record.id},
                {"why", why},
                {"ran_ms", inMilliseconds(m_services.clock.now() - m_sentAt)}});
    m_services.metrics.count("medlarrack_gateway_lost_runs_total", "Runs that ended without their replica's answer",
                             {.service = m_service});
}

} // namespace medlarrack::gateway
