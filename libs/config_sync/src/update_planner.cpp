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

/// While not ready, so many peers are asked at once, at this interval, of a sample of this size.
constexpr std::size_t startQuestionsAtOnce = 4;
constexpr std::chrono::milliseconds startQuestionInterval{100};
constexpr std::size_t startNearSample = 4;
constexpr std::size_t startSample = 8;
/// next() is to be called at least this often, so that a pause shows.
constexpr std::chrono::seconds longestIdle{1};

std::vector<peer_ref> joined(std::vector<peer_ref> first, const std::vector<peer_ref> &second)
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

std::vector<peer_ref> startCandidates(const peer_choice &choice, detail::random_source &random)
{
    auto sample = joined(choice.nearReaders, choice.spares);
    sample.resize(std::min(sample.size(), startNearSample));
    auto far = choice.farReaders;
    std::shuffle(far.begin(), far.end(), random);
    far.resize(std::min(far.size(), startSample - sample.size()));
    return joined(std::move(sample), far);
}

} // namespace

class update_planner::impl
{
public:
    impl(const planner_settings &plannerSettings, instances::instance own, bool asksPeers, std::uint64_t seed,
         core::monotonic_time now)
        : settings(plannerSettings)
        , self(std::move(own))
        , askPeers(asksPeers)
        , random(seed)
        , changes(settings, random, now)
        , list(settings, random, now)
        , peers(random, now)
        , gate(settings, now)
        , lastNext(now)
    {
        choice.selfReads = !askPeers;
        reads = choice.selfReads;
        useChoice(now);
    }

    void useChoice(core::monotonic_time now)
    {
        if (gate.isOpen()) {
            useSteadyPeers(now);
        } else {
            peers.setTiers({startPeers}, now);
            peers.setPace({startQuestionInterval, settings.startPeerSuspension, startQuestionsAtOnce}, now);
        }
    }

    void useSteadyPeers(core::monotonic_time now)
    {
        if (reads) {
            peers.setTiers({joined(choice.nearReaders, choice.farReaders)}, now);
            peers.setPace({settings.readerCheckInterval, settings.peerSuspension, 1}, now);
            return;
        }
        peers.setTiers({choice.nearReaders, joined(choice.spares, choice.farReaders)}, now);
        peers.setPace({settings.pollInterval, settings.peerSuspension, 1}, now);
    }

    /// A reader reads; a spare does while so many of those before it fail that it moves up among the readers.
    [[nodiscard]] bool shouldRead(core::monotonic_time now) const
    {
        if (!choice.selfIsSpare) {
            return choice.selfReads;
        }
        const auto answering = std::count_if(choice.before.begin(), choice.before.end(), [&](const std::string &id) {
            return !peers.isSuspended(id, now);
        });
        return static_cast<std::size_t>(answering) < choice.readers;
    }

    void chooseMode(core::monotonic_time now)
    {
        const bool should = shouldRead(now);
        if (should != reads) {
            reads = should;
            useChoice(now);
        }
        const bool silent = now - peers.lastAnswer() >= settings.peerSilence || noPeerKnows();
        auto mode = silent ? detail::reading_mode::fallback : detail::reading_mode::rarely;
        if (reads) {
            mode = detail::reading_mode::watch;
        }
        changes.setMode(mode, fleetSize, now);
    }

    /// Whether waiting for peers is of no use: there are none, or they all start like this process.
    [[nodiscard]] bool noPeerKnows() const
    {
        return list.answered() && !gate.isOpen() && gate.allUnsure();
    }

    void noticePause(core::monotonic_time now)
    {
        if (now - lastNext > settings.pauseLimit) {
            gate.restart(now);
            useChoice(now);
        }
        lastNext = now;
    }

    void addQuestions(std::vector<update_action> &actions, const ticket_position &position, core::monotonic_time now)
    {
        if (!askPeers) {
            return;
        }
        while (const auto peer = peers.next(now)) {
            const auto after = cursorFor(peer->id).after(position, now);
            asked[peer->id] = after;
            actions.emplace_back(ask_peer{*peer, after});
        }
    }

    detail::ticket_cursor &cursorFor(const std::string &peerId)
    {
        return cursors.try_emplace(peerId, settings.gapRetry).first->second;
    }

    /// Forgets the cursors of peers that aren't asked any more.
    void forgetPeers()
    {
        constexpr std::size_t mostCursors = 256;
        if (cursors.size() > mostCursors) {
            cursors.clear();
        }
    }

    planner_settings settings;
    instances::instance self;
    bool askPeers;
    detail::random_source random;
    detail::changes_schedule changes;
    detail::list_schedule list;
    detail::peer_schedule peers;
    detail::start_gate gate;
    peer_choice choice;
    std::vector<peer_ref> startPeers;
    std::map<std::string, detail::ticket_cursor, std::less<>> cursors;
    /// The number after which each peer was asked last.
    std::map<std::string, std::uint64_t, std::less<>> asked;
    std::size_t fleetSize = 1;
    /// Whether this process reads the service for its data centre now.
    bool reads = false;
    core::monotonic_time lastNext;
};

update_planner::update_planner(const planner_settings &settings, instances::instance self, bool askPeers,
                               std::uint64_t seed, core::monotonic_time now)
    : m_impl(std::make_unique<impl>(settings, std::move(self), askPeers, seed, now))
{
}

update_planner::~update_planner() = default;

void update_planner::setSeeds(std::vector<peer_ref> seeds)
{
    m_impl->choice.farReaders = std::move(seeds);
    m_impl->startPeers = startCandidates(m_impl->choice, m_impl->random);
    if (m_impl->askPeers && !m_impl->startPeers.empty()) {
        m_impl->gate.setCandidates(m_impl->startPeers);
    }
    m_impl->useChoice(m_impl->lastNext);
}

void update_planner::onInstances(call_result result, const instances::instance_list *current, core::monotonic_time now)
{
    m_impl->list.onEnd(result, now);
    if (result != call_result::answered || current == nullptr) {
        return;
    }
    m_impl->fleetSize = std::max<std::size_t>(current->instances.size(), 1);
    m_impl->list.setFleetSize(m_impl->fleetSize);
    if (!m_impl->askPeers) {
        m_impl->gate.setCandidates({});
        return;
    }
    const choice_settings rules{m_impl->settings.sidecarsPerReader, m_impl->settings.leastReaders};
    m_impl->choice = chooseReaders(*current, m_impl->self, rules);
    if (!m_impl->gate.isOpen()) {
        m_impl->startPeers = startCandidates(m_impl->choice, m_impl->random);
        m_impl->gate.setCandidates(m_impl->startPeers);
    }
    m_impl->forgetPeers();
    m_impl->useChoice(now);
}

void update_planner::onChanges(call_result result, const ticket_position &position, core::monotonic_time now)
{
    m_impl->changes.onEnd(result, position, now);
    if (result == call_result::answered) {
        m_impl->gate.onService();
    }
}

void update_planner::onPeer(std::string_view peerId, peer_result result, const ticket_position &position,
                            core::monotonic_time now)
{
    m_impl->peers.onEnd(peerId, result, now);
    m_impl->gate.onPeer(peerId, result);
    const auto asked = m_impl->asked.find(peerId);
    if (asked == m_impl->asked.end()) {
        return;
    }
    if (result == peer_result::whole) {
        m_impl->cursorFor(asked->first).onAnswer(asked->second, position, now);
    }
    m_impl->asked.erase(asked);
}

void update_planner::onHeard(std::uint64_t newestTicket, const std::optional<peer_ref> &sender,
                             const ticket_position &position, core::monotonic_time now)
{
    m_impl->gate.onHeard(newestTicket);
    if (newestTicket > std::max(position.newest, position.contiguous)) {
        m_impl->peers.hurry(sender, now);
    }
}

std::vector<update_action> update_planner::next(const ticket_position &position, core::monotonic_time now)
{
    m_impl->noticePause(now);
    const bool wasOpen = m_impl->gate.isOpen();
    if (m_impl->gate.ready(position, now) && !wasOpen) {
        m_impl->useChoice(now);
    }
    m_impl->chooseMode(now);
    std::vector<update_action> actions;
    if (m_impl->list.next(now)) {
        actions.emplace_back(read_instances{});
    }
    if (const auto call = m_impl->changes.next(position, now)) {
        actions.emplace_back(*call);
    }
    m_impl->addQuestions(actions, position, now);
    return actions;
}

core::monotonic_time update_planner::due() const
{
    auto due = std::min(m_impl->list.due(), m_impl->changes.due());
    if (m_impl->askPeers) {
        due = std::min(due, m_impl->peers.due());
    }
    return std::min(due, m_impl->lastNext + longestIdle);
}

bool update_planner::ready(const ticket_position &position, core::monotonic_time now)
{
    m_impl->noticePause(now);
    return m_impl->gate.ready(position, now);
}

bool update_planner::reads() const
{
    return m_impl->reads;
}

} // namespace medlarrack::config_sync
