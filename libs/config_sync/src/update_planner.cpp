#include "changes_schedule.hpp"
#include "jitter.hpp"
#include "list_schedule.hpp"
#include "peer_schedule.hpp"
#include "readiness_gate.hpp"

#include <medlarrack/config_sync/update_planner.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::config_sync {

namespace {

/// Concurrent queries, their interval and the sample of peers queried while the process isn't ready.
constexpr std::size_t maxStartupQueries = 4;
constexpr std::chrono::milliseconds startupQueryInterval{100};
constexpr std::size_t startupLocalSample = 4;
constexpr std::size_t startupSample = 8;
/// Longest time between calls of next(), so that a pause of the process can be detected.
constexpr std::chrono::seconds maxIdleTime{1};

std::vector<peer_ref> joined(std::vector<peer_ref> first, const std::vector<peer_ref> &second)
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

std::vector<peer_ref> startupCandidates(const peer_choice &choice, detail::random_source &random)
{
    auto sample = joined(choice.localReaders, choice.spares);
    sample.resize(std::min(sample.size(), startupLocalSample));
    auto far = choice.remoteReaders;
    std::shuffle(far.begin(), far.end(), random);
    far.resize(std::min(far.size(), startupSample - sample.size()));
    return joined(std::move(sample), far);
}

} // namespace

class update_planner::impl
{
public:
    impl(const planner_settings &plannerSettings, instances::instance selfInstance, bool peersEnabled,
         std::uint64_t seed, core::monotonic_time now)
        : settings(plannerSettings)
        , self(std::move(selfInstance))
        , usePeers(peersEnabled)
        , random(seed)
        , changes(settings, random, now)
        , list(settings, random, now)
        , peers(random, now)
        , gate(settings, now)
        , lastNext(now)
    {
        choice.selfIsReader = !usePeers;
        isReader = choice.selfIsReader;
        updatePeerSchedule(now);
    }

    void updatePeerSchedule(core::monotonic_time now)
    {
        if (gate.isOpen()) {
            applySteadyStatePeers(now);
        } else {
            peers.setTiers({startupPeers}, now);
            peers.setQueryRate({startupQueryInterval, settings.startupPeerSuspension, maxStartupQueries}, now);
        }
    }

    void applySteadyStatePeers(core::monotonic_time now)
    {
        if (isReader) {
            peers.setTiers({joined(choice.localReaders, choice.remoteReaders)}, now);
            peers.setQueryRate({settings.readerCheckInterval, settings.peerSuspension, 1}, now);
            return;
        }
        peers.setTiers({choice.localReaders, joined(choice.spares, choice.remoteReaders)}, now);
        peers.setQueryRate({settings.pollInterval, settings.peerSuspension, 1}, now);
    }

    /// Whether this process is a reader, or a spare that replaces a failed one: of the sidecars ranked above it, fewer
    /// than readerCount are not suspended after a failure.
    [[nodiscard]] bool shouldBeReader(core::monotonic_time now) const
    {
        if (!choice.selfIsSpare) {
            return choice.selfIsReader;
        }
        const auto responsive =
            std::count_if(choice.higherRanked.begin(), choice.higherRanked.end(), [&](const std::string &id) {
                return !peers.isSuspended(id, now);
            });
        return static_cast<std::size_t>(responsive) < choice.readerCount;
    }

    void updateMode(core::monotonic_time now)
    {
        const bool isReaderNow = shouldBeReader(now);
        if (isReaderNow != isReader) {
            isReader = isReaderNow;
            updatePeerSchedule(now);
        }
        const bool silent = now - peers.lastAnswer() >= settings.peerSilenceTimeout || noPeerHasState();
        auto mode = silent ? detail::reading_mode::fallback : detail::reading_mode::infrequent;
        if (isReader) {
            mode = detail::reading_mode::watch;
        }
        changes.setMode(mode, fleetSize, now);
    }

    /// Whether no peer can provide the state: there are no candidates, or all of them are starting too.
    [[nodiscard]] bool noPeerHasState() const
    {
        return list.answered() && !gate.isOpen() && gate.allCandidatesNotReady();
    }

    void detectPause(core::monotonic_time now)
    {
        if (now - lastNext > settings.pauseLimit) {
            gate.restart(now);
            updatePeerSchedule(now);
        }
        lastNext = now;
    }

    void addPeerQueries(std::vector<update_action> &actions, const ticket_position &position, core::monotonic_time now)
    {
        if (!usePeers) {
            return;
        }
        while (const auto peer = peers.next(now)) {
            const auto after = cursorFor(peer->id).after(position, now);
            pendingQueries[peer->id] = after;
            actions.emplace_back(query_peer{*peer, after});
        }
    }

    detail::ticket_cursor &cursorFor(const std::string &peerId)
    {
        return cursors.try_emplace(peerId, settings.gapRetry).first->second;
    }

    /// Drops all cursors when there are too many, as those of peers that are no longer queried would accumulate.
    void pruneCursors()
    {
        constexpr std::size_t maxCursors = 256;
        if (cursors.size() > maxCursors) {
            cursors.clear();
        }
    }

    planner_settings settings;
    instances::instance self;
    bool usePeers;
    detail::random_source random;
    detail::changes_schedule changes;
    detail::list_schedule list;
    detail::peer_schedule peers;
    detail::readiness_gate gate;
    peer_choice choice;
    std::vector<peer_ref> startupPeers;
    std::map<std::string, detail::ticket_cursor, std::less<>> cursors;
    /// The number after which tickets were requested, by peer with a query in flight.
    std::map<std::string, std::uint64_t, std::less<>> pendingQueries;
    std::size_t fleetSize = 1;
    /// Whether this process currently reads the service for its data centre.
    bool isReader = false;
    core::monotonic_time lastNext;
};

update_planner::update_planner(const planner_settings &settings, instances::instance self, bool usePeers,
                               std::uint64_t seed, core::monotonic_time now)
    : m_impl(std::make_unique<impl>(settings, std::move(self), usePeers, seed, now))
{
}

update_planner::~update_planner() = default;

void update_planner::setSeeds(std::vector<peer_ref> seeds)
{
    m_impl->choice.remoteReaders = std::move(seeds);
    m_impl->startupPeers = startupCandidates(m_impl->choice, m_impl->random);
    if (m_impl->usePeers && !m_impl->startupPeers.empty()) {
        m_impl->gate.setCandidates(m_impl->startupPeers);
    }
    m_impl->updatePeerSchedule(m_impl->lastNext);
}

void update_planner::onInstances(call_result result, const instances::instance_list *current, core::monotonic_time now)
{
    m_impl->list.onEnd(result, now);
    if (result != call_result::answered || current == nullptr) {
        return;
    }
    m_impl->fleetSize = std::max<std::size_t>(current->instances.size(), 1);
    m_impl->list.setFleetSize(m_impl->fleetSize);
    if (!m_impl->usePeers) {
        m_impl->gate.setCandidates({});
        return;
    }
    const choice_settings rules{m_impl->settings.sidecarsPerReader, m_impl->settings.minReaders};
    m_impl->choice = chooseReaders(*current, m_impl->self, rules);
    if (!m_impl->gate.isOpen()) {
        m_impl->startupPeers = startupCandidates(m_impl->choice, m_impl->random);
        m_impl->gate.setCandidates(m_impl->startupPeers);
    }
    m_impl->pruneCursors();
    m_impl->updatePeerSchedule(now);
}

void update_planner::onChanges(call_result result, const ticket_position &position, core::monotonic_time now)
{
    m_impl->changes.onEnd(result, position, now);
    if (result == call_result::answered) {
        m_impl->gate.onServiceAnswer();
    }
}

void update_planner::onPeer(std::string_view peerId, peer_result result, const ticket_position &position,
                            core::monotonic_time now)
{
    m_impl->peers.onEnd(peerId, result, now);
    m_impl->gate.onPeer(peerId, result);
    const auto pendingQueries = m_impl->pendingQueries.find(peerId);
    if (pendingQueries == m_impl->pendingQueries.end()) {
        return;
    }
    if (result == peer_result::complete) {
        m_impl->cursorFor(pendingQueries->first).onAnswer(pendingQueries->second, position, now);
    }
    m_impl->pendingQueries.erase(pendingQueries);
}

void update_planner::onTicketReported(std::uint64_t newestTicket, const std::optional<peer_ref> &sender,
                                      const ticket_position &position, core::monotonic_time now)
{
    m_impl->gate.onTicketReported(newestTicket);
    if (newestTicket > std::max(position.newest, position.contiguous)) {
        m_impl->peers.expedite(sender, now);
    }
}

std::vector<update_action> update_planner::next(const ticket_position &position, core::monotonic_time now)
{
    m_impl->detectPause(now);
    const bool wasOpen = m_impl->gate.isOpen();
    if (m_impl->gate.ready(position, now) && !wasOpen) {
        m_impl->updatePeerSchedule(now);
    }
    m_impl->updateMode(now);
    std::vector<update_action> actions;
    if (m_impl->list.next(now)) {
        actions.emplace_back(read_instances{});
    }
    if (const auto call = m_impl->changes.next(position, now)) {
        actions.emplace_back(*call);
    }
    m_impl->addPeerQueries(actions, position, now);
    return actions;
}

core::monotonic_time update_planner::due() const
{
    auto due = std::min(m_impl->list.due(), m_impl->changes.due());
    if (m_impl->usePeers) {
        due = std::min(due, m_impl->peers.due());
    }
    return std::min(due, m_impl->lastNext + maxIdleTime);
}

bool update_planner::ready(const ticket_position &position, core::monotonic_time now)
{
    m_impl->detectPause(now);
    return m_impl->gate.ready(position, now);
}

bool update_planner::isReader() const
{
    return m_impl->isReader;
}

} // namespace medlarrack::config_sync
