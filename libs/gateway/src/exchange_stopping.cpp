// How an exchange has a run stopped before its request goes on at another replica.

#include "exchange.hpp"
#include "milliseconds.hpp"

#include <medlarrack/log/log.hpp>

#include <utility>

namespace medlarrack::gateway {

namespace {

using std::chrono::milliseconds;

/// Time for a replica to answer that a run has stopped. One that takes longer still stops the run when it gets to the
/// call.
constexpr milliseconds stopPatience{50};
/// Interval at which a replica that hasn't stopped a run is asked again.
constexpr milliseconds stopRetryInterval{1'000};

constexpr std::string_view noResponse = "no response within the usual time";

std::string_view nameOf(stop_outcome outcome)
{
    switch (outcome) {
    case stop_outcome::stopped:
        return "stopped";
    case stop_outcome::runs_on:
        return "runs_on";
    case stop_outcome::unanswered:
        break;
    }
    return "unanswered";
}

} // namespace

bool exchange::mustStopRun() const
{
    // Only engines take the call, and it names the run by the request's id.
    return m_route->streaming && !m_requestMetadata.model.empty() && !m_requestMetadata.id.empty();
}

bool exchange::mayAskToStop(core::monotonic_time now) const
{
    return !m_stopDeadline && now >= m_nextStopAt;
}

void exchange::stopRun(core::monotonic_time now)
{
    const replica_choice other = chooseReplica(now, m_deadline);
    if (!mustStopRun() || other.target == nullptr) {
        leaveSilentReplica();
        return;
    }
    m_stopDeadline = now + stopPatience;
    m_nextStopAt = now + stopRetryInterval;
    ++m_unansweredStops;
    m_services.runStopper.stop(*m_replica, m_requestMetadata.id, *other.target,
                               [weak = weak_from_this(), run = m_history.runs,
                                successor = other.target->record.id](const stop_answer &answer) {
                                   const auto self = weak.lock();
                                   return self != nullptr && self->onStopAnswer(run, successor, answer);
                               });
}

bool exchange::onStopAnswer(std::uint32_t run, const std::string &successor, const stop_answer &answer)
{
    if (run != m_history.runs || m_finished) {
        return false;
    }
    if (answer.outcome == stop_outcome::runs_on && m_unansweredStops > 0) {
        --m_unansweredStops;
    }
    if (!m_stopDeadline) {
        return false;
    }
    const core::monotonic_time now = m_services.clock.now();
    log::write(log::level::info, "run asked to stop",
               {{"request_id", m_requestMetadata.id},
                {"replica", m_replicaId},
                {"outcome", nameOf(answer.outcome)},
                {"copied", answer.isCopied},
                {"answered_ms", inMilliseconds(stopPatience - (*m_stopDeadline - now))}});
    if (answer.outcome == stop_outcome::runs_on && m_connection != nullptr) {
        m_stopDeadline.reset();
        if (m_unansweredStops == 0 && m_silentReplica.empty()) {
            m_wayBack.reset();
        }
        return false;
    }
    if (answer.isCopied && m_eventSplitter.eventCount() > 0) {
        const std::string source = m_replica->record.address + ":" + std::to_string(m_replica->record.port);
        m_copiedMemory = {successor, source + "/" + answer.memory};
    }
    leaveSilentReplica();
    return std::exchange(m_usesCopiedMemory, false);
}

bool exchange::endsAsAsked()
{
    if (m_unansweredStops == 0) {
        return false;
    }
    if (!m_stopDeadline) {
        leaveSilentReplica();
    }
    // Otherwise the answer to the call, or the end of the time for it, follows.
    return true;
}

void exchange::endStopWait()
{
    const core::monotonic_time askedAt = *m_stopDeadline - stopPatience;
    m_stopDeadline.reset();
    // An engine that goes on with its events needs no other one; a late stop ends its response.
    if (m_connection == nullptr || m_lastProgressAt <= askedAt) {
        leaveSilentReplica();
    }
}

void exchange::leaveSilentReplica()
{
    m_replica->recordFailure(false, m_services.clock.now());
    recordLostRun(noResponse, false);
    closeConnection();
    m_silentReplica = m_replicaId;
    retryElsewhere(noResponse);
}

} // namespace medlarrack::gateway
