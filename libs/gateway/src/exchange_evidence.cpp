// What an exchange learns about its replica and its request from responses and from runs that end without one.

#include "exchange.hpp"
#include "milliseconds.hpp"

#include <medlarrack/log/log.hpp>

#include <optional>
#include <random>
#include <span>
#include <string>
#include <utility>

namespace medlarrack::gateway {

namespace {

constexpr std::string_view contentCrashes = "the request crashed the replicas that ran it";
constexpr std::string_view partCrashes = "requests with a part of its prompt crashed the replicas that ran them";

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
    updateRequestLimit(metadata);
    if (becameUnavailable) {
        m_services.adapterWaiters.engineClosed(*m_replica);
    }
}

void exchange::updateRequestLimit(const response_metadata &metadata)
{
    if (!metadata.invalidRequestLimit.empty()) {
        log::write(
            log::level::warning, "request limit not read",
            {{"replica", m_replicaId}, {"request_id", m_requestMetadata.id}, {"limit", metadata.invalidRequestLimit}});
        return;
    }
    if (metadata.misdirected) {
        return;
    }
    const std::optional<double> before = m_replica->requestLimit.perSecond();
    const double phase = std::uniform_real_distribution<double>(0, 1)(m_services.random);
    m_replica->requestLimit.update(metadata.requestLimit, phase, m_sentAt, m_services.clock.now());
    if (m_replica->requestLimit.perSecond() == before) {
        return;
    }
    log::write(log::level::info,
               metadata.requestLimit ? "replica limits its requests" : "replica limits its requests no longer",
               {{"replica", m_replicaId},
                {"request_id", m_requestMetadata.id},
                {"per_second", std::to_string(metadata.requestLimit.value_or(0))},
                {"sent_ms_ago", inMilliseconds(m_services.clock.now() - m_sentAt)}});
}

bool exchange::holdOrRefuseIfSuspect()
{
    if (refuseIfCrashing()) {
        return true;
    }
    const core::monotonic_time now = m_services.clock.now();
    if (!m_services.crashDetector.mustWait(m_requestMetadata.sharedParts, now)) {
        return false;
    }
    constexpr std::string_view why = "another request with a suspect part of its prompt runs";
    m_isCrashProbe = false;
    if (now < m_holdDeadline) {
        hold(why);
    } else {
        refuse(refusal_cause::rejected, "suspected_crash", why);
    }
    return true;
}

bool exchange::isContentRefused(core::monotonic_time now) const
{
    return m_services.crashDetector.statusOf(m_fingerprint, now, m_requestMetadata.sharedParts)
        == suspects::suspect_status::refused;
}

bool exchange::arePartsRefused(core::monotonic_time now) const
{
    return m_services.crashDetector.statusOfParts(m_requestMetadata.sharedParts, now)
        == suspects::suspect_status::refused;
}

bool exchange::refuseIfCrashing()
{
    const core::monotonic_time now = m_services.clock.now();
    const suspects::crash_detector &detector = m_services.crashDetector;
    const bool contentRefused = isContentRefused(now);
    const bool partsRefused = arePartsRefused(now);
    if (!contentRefused && !partsRefused) {
        return false;
    }
    m_isCrashProbe = m_history.runs == 0 && (!contentRefused || detector.mayProbe(m_fingerprint, now))
        && (!partsRefused || detector.mayProbeParts(m_requestMetadata.sharedParts, now));
    if (m_isCrashProbe) {
        return false;
    }
    countCrashingRequest();
    refuse(refusal_cause::crashes_replicas, "suspected_crash", contentRefused ? contentCrashes : partCrashes);
    return true;
}

bool exchange::cancelIfCrashing(core::monotonic_time now)
{
    if (!m_isUnanswered || m_runsAsProbe) {
        return false;
    }
    if (!m_services.crashDetector.mustCancel(m_fingerprint, m_requestMetadata.sharedParts, now)) {
        return false;
    }
    countCrashingRequest();
    const std::string_view why = arePartsRefused(now) ? partCrashes : contentCrashes;
    recordLostRun(why, false);
    closeConnection();
    releaseReplica();
    constexpr int statusBadGateway = 502;
    respondWithError(statusBadGateway, "suspected_crash", why);
    return true;
}

void exchange::countCrashingRequest()
{
    m_services.metrics.count("medlarrack_gateway_crashing_requests_total",
                             "Requests not sent, or cancelled, because they crash replicas",
                             {.service = m_serviceName});
}

void exchange::recordCrashProbe()
{
    const core::monotonic_time now = m_services.clock.now();
    const core::instance_ref target{m_replicaId, m_replicaStartedAtMs};
    if (isContentRefused(now)) {
        m_services.crashDetector.recordProbe(m_fingerprint, target, now);
    }
    m_services.crashDetector.recordPartsProbe(m_requestMetadata.sharedParts, target, now);
}

void exchange::withdrawProbe()
{
    if (std::exchange(m_runsAsProbe, false)) {
        m_services.crashDetector.withdrawProbes({m_replicaId, m_replicaStartedAtMs}, m_sentAt);
    }
}

suspects::lost_run exchange::makeLostRun(bool disconnected) const
{
    return {m_fingerprint,
            {m_replicaId, m_replicaStartedAtMs},
            m_sentAt,
            disconnected,
            hasAnswerBegun() || m_history.runs > 1 ? std::vector<std::uint64_t>() : m_requestMetadata.sharedParts};
}

bool exchange::hasAnswerBegun() const
{
    // An event may have been on its way when the replica crashed at it.
    constexpr std::size_t minEvents = 2;
    return m_eventSplitter.eventCount() >= m_eventsBeforeRun + minEvents;
}

void exchange::clearPartsOfSuspicion()
{
    if (!m_isUnanswered) {
        return;
    }
    endUnansweredRun();
    for (const std::uint64_t part : m_requestMetadata.sharedParts) {
        m_services.crashDetector.recordAnswer(part, m_services.clock.now());
    }
}

void exchange::endUnansweredRun()
{
    if (std::exchange(m_isUnanswered, false)) {
        m_services.crashDetector.removeUnansweredRun(m_requestMetadata.sharedParts);
    }
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
