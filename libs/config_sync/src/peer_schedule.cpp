#include "peer_schedule.hpp"

#include <algorithm>
#include <utility>

namespace medlarrack::config_sync::detail {

namespace {

constexpr double intervalJitter = 0.2;
/// Least time between two questions.
constexpr std::chrono::milliseconds leastSpacing{50};

} // namespace

peer_schedule::peer_schedule(random_source &random, core::monotonic_time now)
    : m_random(random)
    , m_turn(random())
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

void peer_schedule::setPace(const peer_pace &pace, core::monotonic_time now)
{
    if (pace == m_pace) {
        return;
    }
    m_pace = pace;
    m_due = std::min(m_due, now + anywhereIn(pace.interval, m_random));
}

void peer_schedule::hurry(const std::optional<peer_ref> &peer, core::monotonic_time now)
{
    if (peer) {
        m_preferred = peer;
        m_suspendedUntil.erase(peer->id);
    }
    m_due = std::min(m_due, std::max(now, m_startedAt + leastSpacing));
}

bool peer_schedule::mayAsk(const peer_ref &peer, core::monotonic_time now) const
{
    return !m_inFlight.contains(peer.id) && !isSuspended(peer.id, now);
}

bool peer_schedule::isSuspended(std::string_view peerId, core::monotonic_time now) const
{
    const auto suspended = m_suspendedUntil.find(peerId);
    return suspended != m_suspendedUntil.end() && suspended->second > now;
}

std::optional<peer_ref> peer_schedule::choose(core::monotonic_time now)
{
    if (m_preferred && mayAsk(*m_preferred, now)) {
        return std::exchange(m_preferred, std::nullopt);
    }
    for (const auto &tier : m_tiers) {
        for (std::size_t step = 0; step < tier.size(); ++step) {
            const auto &peer = tier[(m_turn + step) % tier.size()];
            if (mayAsk(peer, now)) {
                m_turn += step + 1;
                return peer;
            }
        }
    }
    return std::nullopt;
}

std::optional<peer_ref> peer_schedule::next(core::monotonic_time now)
{
    if (now < m_due || m_inFlight.size() >= m_pace.atOnce) {
        return std::nullopt;
    }
    auto chosen = choose(now);
    const auto wait = jittered(m_pace.interval, intervalJitter, m_random);
    m_due = now + std::max<std::chrono::nanoseconds>(wait, leastSpacing);
    if (chosen) {
        m_startedAt = now;
        m_inFlight.emplace(chosen->id, *chosen);
    }
    return chosen;
}

void peer_schedule::onEnd(std::string_view peerId, peer_result result, core::monotonic_time now)
{
    std::optional<peer_ref> peer;
    const auto asked = m_inFlight.find(peerId);
    if (asked != m_inFlight.end()) {
        peer = asked->second;
        m_inFlight.erase(asked);
    }
    switch (result) {
    case peer_result::whole:
        m_lastAnswer = now;
        break;
    case peer_result::part:
        m_lastAnswer = now;
        hurry(peer, now);
        break;
    case peer_result::unsure:
        break;
    case peer_result::failed:
        m_suspendedUntil[std::string(peerId)] = now + jittered(m_pace.suspension, intervalJitter, m_random);
        hurry(std::nullopt, now);
        break;
    }
}

core::monotonic_time peer_schedule::due() const
{
    return m_inFlight.size() >= m_pace.atOnce ? core::monotonic_time::max() : m_due;
}

} // namespace medlarrack::config_sync::detail
