#pragma once

#include <medlarrack/config_sync/update_planner.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::config_sync::detail {

/// Decides when a process that has just started, or was paused, may serve. The copy of the service that it reads may
/// be stale, so it also queries ready peers. The gate opens when
/// - two ready peers, or all candidates if fewer, have sent all their tickets; or
/// - every candidate has answered that it isn't ready, so the whole fleet is starting, and the service has answered; or
/// - the startup timeout has passed, and the service or a ready peer has answered.
/// It stays closed while a ticket that a process has reported is missing, for at most missingTicketTimeout.
class readiness_gate
{
public:
    readiness_gate(const planner_settings &settings, core::monotonic_time now);

    /// Closes the gate and discards earlier answers; called after the process was paused.
    void restart(core::monotonic_time now);
    /// Sets the peers that are queried before the process is ready. Until the first call the gate opens only by
    /// timeout.
    void setCandidates(const std::vector<peer_ref> &candidates);
    void onPeer(std::string_view peerId, peer_result result);
    void onServiceAnswer();
    void onTicketReported(std::uint64_t newestTicket);
    [[nodiscard]] bool ready(const ticket_position &position, core::monotonic_time now);
    /// Whether the latest answer of every candidate was not_ready. True without candidates.
    [[nodiscard]] bool allCandidatesNotReady() const;
    /// Whether the gate is open; it then stays open until restart().
    [[nodiscard]] bool isOpen() const
    {
        return m_open;
    }

private:
    [[nodiscard]] bool enoughPeersComplete() const;

    const planner_settings &m_settings;
    core::monotonic_time m_startedAt;
    bool m_open = false;
    bool m_candidatesKnown = false;
    bool m_serviceAnswered = false;
    std::uint64_t m_newestReported = 0;
    std::vector<std::string> m_candidates;
    /// Latest result of each peer queried since the start; complete is not overwritten.
    std::map<std::string, peer_result, std::less<>> m_results;
};

} // namespace medlarrack::config_sync::detail
