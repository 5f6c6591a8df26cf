#pragma once

#include "jitter.hpp"

#include <medlarrack/config_sync/update_planner.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::config_sync::detail {

/// How often peers are asked, and how many at a time.
struct peer_pace
{
    std::chrono::nanoseconds interval{0};
    std::chrono::nanoseconds suspension{0};
    std::size_t atOnce = 1;

    bool operator==(const peer_pace &) const = default;
};

/// Decides which peer is asked when: the members of the first tier in turn; those of later tiers only while all before
/// are suspended after a failure.
class peer_schedule
{
public:
    peer_schedule(random_source &random, core::monotonic_time now);

    void setTiers(std::vector<std::vector<peer_ref>> tiers, core::monotonic_time now);
    void setPace(const peer_pace &pace, core::monotonic_time now);
    /// Asks as soon as may be, that peer first when it is given.
    void hurry(const std::optional<peer_ref> &peer, core::monotonic_time now);
    /// The peer to ask now, if a question is due; it counts as asked then.
    [[nodiscard]] std::optional<peer_ref> next(core::monotonic_time now);
    void onEnd(std::string_view peerId, peer_result result, core::monotonic_time now);
    [[nodiscard]] core::monotonic_time due() const;
    /// Whether a peer isn't asked because it failed.
    [[nodiscard]] bool isSuspended(std::string_view peerId, core::monotonic_time now) const;
    /// When a peer last answered with what it has; the start before that.
    [[nodiscard]] core::monotonic_time lastAnswer() const
    {
        return m_lastAnswer;
    }

private:
    [[nodiscard]] std::optional<peer_ref> choose(core::monotonic_time now);
    [[nodiscard]] bool mayAsk(const peer_ref &peer, core::monotonic_time now) const;

    random_source &m_random;
    std::vector<std::vector<peer_ref>> m_tiers;
    peer_pace m_pace;
    std::optional<peer_ref> m_preferred;
    std::map<std::string, peer_ref, std::less<>> m_inFlight;
    std::map<std::string, core::monotonic_time, std::less<>> m_suspendedUntil;
    std::size_t m_turn = 0;
    core::monotonic_time m_lastAnswer;
    core::monotonic_time m_due;
    core::monotonic_time m_startedAt{};
};

} // namespace medlarrack::config_sync::detail
