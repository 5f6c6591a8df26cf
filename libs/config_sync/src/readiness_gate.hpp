#pragma once

#include <medlarrack/config_sync/update_planner.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::config_sync::detail {

/// Decides when a process that knew nothing, or was paused, may serve. The copy of the service that it reads may be
/// stale, so it also hears peers that have learnt the state in force:
/// - two such peers (or all there are) have sent all they have; or
/// - every candidate has answered and none was ready, so the whole fleet starts, and the service has answered; or
/// - candidates can't be reached, the service or some peer has answered, and the start wait is over.
/// A ticket that somebody named but nobody has delivered is waited for, for a longer bounded time.
class start_gate
{
public:
    start_gate(const planner_settings &settings, core::monotonic_time now);

    /// Starts anew, after a pause.
    void restart(core::monotonic_time now);
    /// Peers that are asked before the process is ready. They count once the list has been read.
    void setCandidates(const std::vector<peer_ref> &candidates);
    void onPeer(std::string_view peerId, peer_result result);
    void onService();
    void onHeard(std::uint64_t newestTicket);
    [[nodiscard]] bool ready(const ticket_position &position, core::monotonic_time now);
    /// Whether every candidate has answered and none has learnt the state itself. True without candidates.
    [[nodiscard]] bool allUnsure() const;
    /// Once open the gate stays open until a restart.
    [[nodiscard]] bool isOpen() const
    {
        return m_open;
    }

private:
    [[nodiscard]] bool peersSuffice() const;

    const planner_settings &m_settings;
    core::monotonic_time m_startedAt;
    bool m_open = false;
    bool m_candidatesKnown = false;
    bool m_serviceAnswered = false;
    std::uint64_t m_heard = 0;
    std::vector<std::string> m_candidates;
    /// Latest result of each peer asked since the start.
    std::map<std::string, peer_result, std::less<>> m_results;
};

} // namespace medlarrack::config_sync::detail
