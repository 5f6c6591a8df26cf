#include "readiness_gate.hpp"

#include <algorithm>

namespace medlarrack::config_sync::detail {

namespace {

constexpr std::size_t peersWanted = 2;

} // namespace

start_gate::start_gate(const planner_settings &settings, core::monotonic_time now)
    : m_settings(settings)
    , m_startedAt(now)
{
}

void start_gate::restart(core::monotonic_time now)
{
    m_startedAt = now;
    m_open = false;
    m_serviceAnswered = false;
    m_results.clear();
}

void start_gate::setCandidates(const std::vector<peer_ref> &candidates)
{
    m_candidatesKnown = true;
    m_candidates.clear();
    for (const auto &candidate : candidates) {
        m_candidates.push_back(candidate.id);
    }
}

void start_gate::onPeer(std::string_view peerId, peer_result result)
{
    const auto found = m_results.find(peerId);
    if (found == m_results.end()) {
        m_results.emplace(std::string(peerId), result);
    } else if (found->second != peer_result::whole) {
        found->second = result;
    }
}

void start_gate::onService()
{
    m_serviceAnswered = true;
}

void start_gate::onHeard(std::uint64_t newestTicket)
{
    m_heard = std::max(m_heard, newestTicket);
}

bool start_gate::peersSuffice() const
{
    const auto whole =
        static_cast<std::size_t>(std::count_if(m_results.begin(), m_results.end(), [](const auto &entry) {
            return entry.second == peer_result::whole;
        }));
    return whole > 0 && whole >= std::min(peersWanted, m_candidates.size());
}

bool start_gate::allUnsure() const
{
    return std::all_of(m_candidates.begin(), m_candidates.end(), [this](const std::string &id) {
        const auto found = m_results.find(id);
        return found != m_results.end() && found->second == peer_result::unsure;
    });
}

bool start_gate::ready(const ticket_position &position, core::monotonic_time now)
{
    if (m_open) {
        return true;
    }
    const auto waited = now - m_startedAt;
    const bool someSource = m_serviceAnswered || std::any_of(m_results.begin(), m_results.end(), [](const auto &entry) {
                                return entry.second == peer_result::whole;
                            });
    const bool learnt = m_candidatesKnown && (peersSuffice() || (m_serviceAnswered && allUnsure()));
    const bool alone = someSource && waited >= m_settings.startWait;
    const bool nothingMissing =
        std::max(position.contiguous, position.newest) >= m_heard || waited >= m_settings.missingTicketWait;
    m_open = (learnt || alone) && nothingMissing;
    return m_open;
}

} // namespace medlarrack::config_sync::detail
