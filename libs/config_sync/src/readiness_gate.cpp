#include "readiness_gate.hpp"

#include <algorithm>

namespace medlarrack::config_sync::detail {

namespace {

constexpr std::size_t requiredPeers = 2;

} // namespace

readiness_gate::readiness_gate(const planner_settings &settings, core::monotonic_time now)
    : m_settings(settings)
    , m_startedAt(now)
{
}

void readiness_gate::restart(core::monotonic_time now)
{
    m_startedAt = now;
    m_open = false;
    m_serviceAnswered = false;
    m_results.clear();
}

void readiness_gate::setCandidates(const std::vector<peer_ref> &candidates)
{
    m_candidatesKnown = true;
    m_candidates.clear();
    for (const auto &candidate : candidates) {
        m_candidates.push_back(candidate.id);
    }
}

void readiness_gate::onPeer(std::string_view peerId, peer_result result)
{
    const auto found = m_results.find(peerId);
    if (found == m_results.end()) {
        m_results.emplace(std::string(peerId), result);
    } else if (found->second != peer_result::complete) {
        found->second = result;
    }
}

void readiness_gate::onServiceAnswer()
{
    m_serviceAnswered = true;
}

void readiness_gate::onTicketReported(std::uint64_t newestTicket)
{
    m_newestReported = std::max(m_newestReported, newestTicket);
}

bool readiness_gate::enoughPeersComplete() const
{
    const auto completeCount =
        static_cast<std::size_t>(std::count_if(m_results.begin(), m_results.end(), [](const auto &entry) {
            return entry.second == peer_result::complete;
        }));
    return completeCount > 0 && completeCount >= std::min(requiredPeers, m_candidates.size());
}

bool readiness_gate::allCandidatesNotReady() const
{
    return std::all_of(m_candidates.begin(), m_candidates.end(), [this](const std::string &id) {
        const auto found = m_results.find(id);
        return found != m_results.end() && found->second == peer_result::not_ready;
    });
}

bool readiness_gate::ready(const ticket_position &position, core::monotonic_time now)
{
    if (m_open) {
        return true;
    }
    const auto elapsed = now - m_startedAt;
    const bool hasSource = m_serviceAnswered || std::any_of(m_results.begin(), m_results.end(), [](const auto &entry) {
                               return entry.second == peer_result::complete;
                           });
    const bool stateKnown =
        m_candidatesKnown && (enoughPeersComplete() || (m_serviceAnswered && allCandidatesNotReady()));
    const bool timedOut = hasSource && elapsed >= m_settings.startupTimeout;
    const bool noTicketMissing = std::max(position.contiguous, position.newest) >= m_newestReported
        || elapsed >= m_settings.missingTicketTimeout;
    m_open = (stateKnown || timedOut) && noTicketMissing;
    return m_open;
}

} // namespace medlarrack::config_sync::detail
