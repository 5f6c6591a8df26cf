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

/// Rate at which peers are queried.
struct query_rate
{
    std::chrono::nanoseconds interval{0};
    std::chrono::nanoseconds suspension{0};
    std::size_t maxInFlight = 1;

    bool operator==(const query_rate &) const = default;
};

/// Decides which peer is queried when. Uses the first tier round-robin; a later tier only while no peer of the tiers
/// before it can be queried, being suspended after a failure or having a query in flight.
class peer_schedule
{
public:
    peer_schedule(random_source &random, core::monotonic_time now);

    void setTiers(std::vector<std::vector<peer_ref>> tiers, core::monotonic_time now);
    void setQueryRate(const query_rate &rate, core::monotonic_time now);
    /// Makes the next query due as soon as the minimum spacing allows; a given peer is queried first and loses its
    /// suspension.
    void expedite(const std::optional<peer_ref> &peer, core::monotonic_time now);
    /// Returns the peer to query, if a query is due, and counts the query as started.
    [[nodiscard]] std::optional<peer_ref> next(core::monotonic_time now);
    void onEnd(std::string_view peerId, peer_result result, core::monotonic_time now);
    [[nodiscard]] core::monotonic_time due() const;
    /// Whether a peer is currently excluded after a failure.
    [[nodiscard]] bool isSuspended(std::string_view peerId, core::monotonic_time now) const;
    /// When a ready peer last answered; initially the time of construction.
    [[nodiscard]] core::monotonic_time lastAnswer() const
    {
        return m_lastAnswer;
    }

private:
    [[nodiscard]] std::optional<peer_ref> choosePeer(core::monotonic_time now);
    [[nodiscard]] bool canQuery(const peer_ref &peer, core::monotonic_time now) const;

    random_source &m_random;
    std::vector<std::vector<peer_ref>> m_tiers;
    query_rate m_rate;
    std::optional<peer_ref> m_preferred;
    std::map<std::string, peer_ref, std::less<>> m_inFlight;
    std::map<std::string, core::monotonic_time, std::less<>> m_suspendedUntil;
    std::size_t m_nextIndex = 0;
    core::monotonic_time m_lastAnswer;
    core::monotonic_time m_due;
    core::monotonic_time m_lastQueryAt{};
};

} // namespace medlarrack::config_sync::detail
