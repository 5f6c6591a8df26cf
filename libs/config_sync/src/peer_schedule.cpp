#include "peer_schedule.hpp"

#include <algorithm>
#include <utility>

namespace medlarrack::config_sync::detail {

namespace {

constexpr double intervalJitter = 0.2;
/// Minimum time between two queries.
constexpr std::chrono::milliseconds minSpacing{50};

} // namespace

peer_schedule::peer_schedule(random_source &random, core::monotonic_time now)
    : m_random(random)
    , m_nextIndex(random())
    , m_lastAnswer(now)
    , m_due(now)
{
}

void peer_schedule::setTiers(std::vector<std::vector<peer_ref>> tiers, core::monotonic_time now)
{
    m_tiers = std::move(tiers);
    std::erase_if(m_suspendedUntil, [&](const auto &entry) {
        return entry.second <= now;
    });
}

void peer_schedule::setQueryRate(const query_rate &rate, core::monotonic_time now)
{
    if (rate == m_rate) {
        return;
    }
    m_rate = rate;
    m_due = std::min(m_due, now + uniformUpTo(rate.interval, m_random));
}

void peer_schedule::expedite(const std::optional<peer_ref> &peer, core::monotonic_time now)
{
    if (peer) {
        m_preferred = peer;
        m_suspendedUntil.erase(peer->id);
    }
    m_due = std::min(m_due, std::max(now, m_lastQueryAt + minSpacing));
}

bool peer_schedule::canQuery(const peer_ref &peer, core::monotonic_time now) const
{
    return !m_inFlight.contains(peer.id) && !isSuspended(peer.id, now);
}

bool peer_schedule::isSuspended(std::string_view peerId, core::monotonic_time now) const
{
    const auto suspended = m_suspendedUntil.find(peerId);
    return suspended != m_suspendedUntil.end() && suspended->second > now;
}

std::optional<peer_ref> peer_schedule::choosePeer(core::monotonic_time now)
{
    if (m_preferred && canQuery(*m_preferred, now)) {
        return std::exchange(m_preferred, std::nullopt);
    }
    for (const auto &tier : m_tiers) {
        for (std::size_t offset = 0; offset < tier.size(); ++offset) {
            const auto &peer = tier[(m_nextIndex + offset) % tier.size()];
            if (canQuery(peer, now)) {
                m_nextIndex += offset + 1;
                return peer;
            }
        }
    }
    return std::nullopt;
}

std::optional<peer_ref> peer_schedule::next(core::monotonic_time now)
{
    if (now < m_due || m_inFlight.size() >= m_rate.maxInFlight) {
        return std::nullopt;
    }
    auto chosen = choosePeer(now);
    const auto wait = jittered(m_rate.interval, intervalJitter, m_random);
    m_due = now + std::max<std::chrono::nanoseconds>(wait, minSpacing);
    if (chosen) {
        m_lastQueryAt = now;
        m_inFlight.emplace(chosen->id, *chosen);
    }
    return chosen;
}

void peer_schedule::onEnd(std::string_view peerId, peer_result result, core::monotonic_time now)
{
    std::optional<peer_ref> peer;
    const auto inFlight = m_inFlight.find(peerId);
    if (inFlight != m_inFlight.end()) {
        peer = inFlight->second;
        m_inFlight.erase(inFlight);
    }
    switch (result) {
    case peer_result::complete:
        m_lastAnswer = now;
        break;
    case peer_result::partial:
        m_lastAnswer = now;
        expedite(peer, now);
        break;
    case peer_result::not_ready:
        break;
    case peer_result::failed:
        m_suspendedUntil[std::string(peerId)] = now + jittered(m_rate.suspension, intervalJitter, m_random);
        expedite(std::nullopt, now);
        break;
    }
}

core::monotonic_time peer_schedule::due() const
{
    return m_inFlight.size() >= m_rate.maxInFlight ? core::monotonic_time::max() : m_due;
}

} // namespace medlarrack::config_sync::detail
