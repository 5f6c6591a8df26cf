// Where the events of a stream come from, and where the stream may go on.

#include "exchange.hpp"

#include <medlarrack/log/log.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::gateway {

namespace {

using std::chrono::milliseconds;

/// Interval at which the origin of a stream is looked up again; agents answer within a few milliseconds.
constexpr milliseconds streamLookupInterval{20};
/// Two heartbeats of a replica, and the time until they are read.
constexpr milliseconds proofTimeout{3'500};
/// Longest idle time of a connection that is reused for a request that may not run again. If the replica closes an idle
/// connection just as the request is sent, it is unknown whether the request ran.
constexpr milliseconds maxIdleIfNotRepeatable{400};
constexpr milliseconds maxIdleIfRepeatable{60'000};

} // namespace

bool exchange::resumesStream() const
{
    return m_route->streaming && !m_requestMetadata.lastEventId.empty();
}

bool exchange::findOrigin()
{
    const core::monotonic_time now = m_services.clock.now();
    resumption::origin_lookup found;
    if (!m_requestMetadata.resumedAttempt.empty()) {
        found = m_services.streams.lookUp(m_streamKey, now);
    }
    if (found.state == resumption::origin_lookup::status::pending && now < m_holdDeadline) {
        hold("agents are asked which version began the stream", streamLookupInterval);
        return false;
    }
    if (found.state != resumption::origin_lookup::status::known) {
        // A guess from what is listed now would be wrong if the replicas that began the stream have just left.
        refuse(refusal_cause::no_replica, "unknown_stream", "it is not known which version began the stream");
        return false;
    }
    m_origin = found.origin;
    // The route may choose another of its services for this attempt than for the first one.
    for (const catalog::weighted_service &service : m_route->services) {
        const auto replicas = m_services.replicas.findByService(service.service);
        if (std::any_of(replicas.begin(), replicas.end(), [this](const replica_ptr &candidate) {
                return mayResume(*candidate, m_origin);
            })) {
            m_serviceName = service.service;
        }
    }
    return true;
}

bool exchange::isRunProven() const
{
    return m_replica->origin == m_runOrigin && m_replica->isRecordCurrent()
        && m_replica->startProof.covers(m_connectionTimes);
}

bool exchange::isRunOfOrigin() const
{
    return isRunProven() && (m_origin == resumption::unknownOrigin || m_origin == m_runOrigin);
}

void exchange::recordStartEvidence(const response_metadata &metadata)
{
    if (!m_connectionTimes.connectedBy) {
        m_connectionTimes.connectedBy = m_services.clock.now();
    }
    // An answer that names no request may be one to an earlier request.
    if (!metadata.id.empty() && !metadata.misdirected) {
        m_replica->startProof.recordAnswer(m_connectionTimes, m_sentAt);
    }
}

std::optional<pooled_connection> exchange::takeConnection(const replica_ptr &to)
{
    connection_pool &pool = m_services.connectionPool;
    const milliseconds maxIdle = catalog::mayRetryAfterStart(*m_route) ? maxIdleIfRepeatable : maxIdleIfNotRepeatable;
    // The answer to a request without an id names none, so that an earlier one can't be told from it.
    const bool mayReuse = !m_requestMetadata.id.empty();
    if (m_origin == resumption::unknownOrigin) {
        return mayReuse ? pool.acquire(*to, maxIdle, m_usedConnections) : pool.connect(*to);
    }
    if (m_awaitedProof && m_awaitedProof->at == to && to->startProof.covers(m_awaitedProof->opened.times)) {
        std::optional<pooled_connection> proven = std::move(m_awaitedProof->opened);
        dropAwaitedProof();
        return proven;
    }
    return mayReuse ? pool.acquireProven(*to, maxIdle, m_usedConnections) : std::nullopt;
}

void exchange::awaitProof(const replica_ptr &to)
{
    const core::monotonic_time now = m_services.clock.now();
    if (!m_proofDeadline) {
        m_proofDeadline = std::min(m_deadline, now + proofTimeout);
    }
    if (now >= *m_proofDeadline) {
        constexpr std::string_view why = "it is not certain which version the replicas run";
        if (m_history.runs > 0) {
            constexpr int statusBadGateway = 502;
            respondWithError(statusBadGateway, "uncertain_version", why);
        } else {
            refuse(refusal_cause::no_replica, "uncertain_version", why);
        }
        return;
    }
    if (!m_awaitedProof) {
        m_awaitedProof = awaited_proof{to, m_services.connectionPool.connect(*to)};
        ++to->outstanding;
    }
    hold("it is not certain yet which version the replica runs", milliseconds(0));
}

bool exchange::advanceAwaitedProof(core::monotonic_time now)
{
    if (!m_awaitedProof) {
        return false;
    }
    const replica_ptr at = m_awaitedProof->at;
    pooled_connection &opened = m_awaitedProof->opened;
    if (!opened.times.connectedBy && opened.connection->isConnected()) {
        opened.times.connectedBy = now;
    }
    if (!opened.connection->isReusable() || !acceptsRequests(*at, now) || !mayResume(*at, m_origin)) {
        dropAwaitedProof();
        return false;
    }
    if (!at->startProof.covers(opened.times)) {
        const replica_choice other = chooseReplica(now);
        if (other.target != nullptr && m_services.connectionPool.hasProven(*other.target)) {
            dropAwaitedProof();
            return false;
        }
        awaitProof(at);
        return true;
    }
    sendRequest(at);
    return true;
}

void exchange::dropAwaitedProof()
{
    if (m_awaitedProof) {
        --m_awaitedProof->at->outstanding;
        m_awaitedProof.reset();
    }
}

void exchange::pinOrigin()
{
    // As long as a run isn't proved, all events of its stream are its own: a stream doesn't go on elsewhere before.
    if (m_origin == resumption::unknownOrigin || m_origin == resumption::uncertainOrigin) {
        m_origin = isRunProven() ? m_runOrigin : resumption::uncertainOrigin;
    }
    if (m_route->resumable && std::exchange(m_recordedOrigin, m_origin) != m_origin) {
        m_services.streams.recordBegun(m_streamKey, m_origin, m_services.clock.now());
    }
}

void exchange::failRunOfOtherOrigin(std::string &body)
{
    const auto self = shared_from_this();
    body.clear();
    closeConnection();
    onAttemptFailed(attempt_outcome::unknown, "the replica may have started again with another version", false);
}

} // namespace medlarrack::gateway
