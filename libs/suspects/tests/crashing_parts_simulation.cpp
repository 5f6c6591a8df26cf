#include "crashing_parts_simulation.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace medlarrack::suspects::testing {

namespace {

constexpr core::monotonic_time start{std::chrono::hours(1)};
constexpr milliseconds stepTime{5};
constexpr milliseconds newsInterval{25};
/// From a process by way of an agent to another process.
constexpr milliseconds newsTransit{40};
/// Until processes hear from an agent that its target has ended.
constexpr milliseconds endNotice{40};
/// Until a target that crashed is used again.
constexpr milliseconds restartTime{4'000};
constexpr milliseconds eventInterval{30};
constexpr milliseconds answerTime{400};
constexpr milliseconds holdInterval{50};
constexpr milliseconds maxHold{1'000};
constexpr std::size_t maxRuns = 2;

constexpr std::uint64_t firstPart = 1'000;
constexpr std::uint64_t firstSecondPart = 2'000;
constexpr std::uint64_t firstCrashingPart = 9'000;
constexpr std::uint64_t firstContent = 1'000'000;

} // namespace

struct crashing_parts_simulation::request
{
    std::uint64_t fingerprint = 0;
    std::size_t process = 0;
    std::vector<std::uint64_t> parts;
    /// Indices of its crashing parts.
    std::vector<std::size_t> crashing;
    core::monotonic_time sentAt{};
    std::size_t runs = 0;
    std::size_t index = 0;
};

struct crashing_parts_simulation::run
{
    std::shared_ptr<request> of;
    target *at = nullptr;
    std::uint64_t incarnation = 0;
    core::monotonic_time startedAt{};
    bool isRepeat = false;
    /// The answer has begun, and the process has been told so.
    bool answered = false;
    bool ended = false;
};

struct crashing_parts_simulation::target
{
    std::string id;
    std::uint64_t incarnation = 1;
    bool up = true;
    /// Processes know that it ended.
    bool listed = true;
    std::vector<std::shared_ptr<run>> runs;
};

crashing_parts_simulation::crashing_parts_simulation(const simulation_options &options)
    : m_options(options)
    , m_random(options.seed)
    , m_now(start)
    , m_outcomes(options.crashingParts)
{
    for (std::size_t index = 0; index < options.processes; ++index) {
        m_processes.push_back(makeDetector(index));
    }
    for (std::size_t index = 0; index < options.targets; ++index) {
        m_targets.push_back(std::make_shared<target>());
        m_targets.back()->id = "t-" + std::to_string(index);
    }
}

std::unique_ptr<crash_detector> crashing_parts_simulation::makeDetector(std::size_t index) const
{
    constexpr std::uint64_t spread = 7'919;
    return std::make_unique<crash_detector>(sharedLimits, index * spread);
}

void crashing_parts_simulation::runUntil(milliseconds time)
{
    while (sinceStart() < time) {
        step();
    }
}

void crashing_parts_simulation::step()
{
    m_now += stepTime;
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const auto work = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        work();
    }
    const double stepsPerSecond = std::chrono::seconds(1) / stepTime;
    for (m_due += m_options.requestsPerSecond / stepsPerSecond; m_due > draw(); m_due -= 1) {
        arrive(false);
    }
    if (sinceStart() >= m_options.from && sinceStart() < m_options.until) {
        m_crashingDue += m_options.requestsPerSecond * m_options.crashingShare / stepsPerSecond;
        for (; m_crashingDue > draw(); m_crashingDue -= 1) {
            arrive(true);
        }
    }
    if (sinceStart() % newsInterval == milliseconds(0)) {
        exchangeNews();
    }
}

void crashing_parts_simulation::arrive(bool crashing)
{
    auto made = std::make_shared<request>();
    made->fingerprint = firstContent + (m_options.sameSoundContent && !crashing ? 0 : ++m_requests);
    made->process = m_random() % m_processes.size();
    made->sentAt = m_now;
    // Second parts of unequal popularity.
    made->parts = {firstPart, firstSecondPart + static_cast<std::uint64_t>(draw() * draw() * secondParts)};
    if (crashing) {
        made->parts.back() = m_options.secondPart ? firstSecondPart + *m_options.secondPart : made->parts.back();
        const std::size_t chosen = m_random() % m_options.crashingParts;
        for (std::size_t part = 0; part < m_options.crashingParts; ++part) {
            if (m_options.allInOneRequest || part == chosen) {
                made->crashing.push_back(part);
                made->parts.insert(made->parts.begin() + static_cast<std::ptrdiff_t>(m_options.position),
                                   firstCrashingPart + part);
            }
        }
    } else {
        made->index = m_sound.size();
        m_sound.push_back({sinceStart(), false});
    }
    if (m_options.ignoresParts) {
        made->parts.clear();
    }
    trySend(made);
}

void crashing_parts_simulation::trySend(const std::shared_ptr<request> &sent)
{
    crash_detector &detector = *m_processes[sent->process];
    bool probe = false;
    if (detector.statusOf(sent->fingerprint, m_now, sent->parts) == suspect_status::refused) {
        return;
    }
    if (detector.statusOfParts(sent->parts, m_now) == suspect_status::refused) {
        probe = sent->runs == 0 && detector.mayProbeParts(sent->parts, m_now);
        if (!probe) {
            return;
        }
    }
    if (detector.mustWait(sent->parts, m_now)) {
        if (m_now - sent->sentAt < maxHold) {
            after(holdInterval, [this, sent] {
                trySend(sent);
            });
        }
        return;
    }
    std::vector<target *> usable;
    for (const auto &candidate : m_targets) {
        if (candidate->listed) {
            usable.push_back(candidate.get());
        }
    }
    if (usable.empty()) {
        return;
    }
    target &to = *usable[m_random() % usable.size()];
    ++sent->runs;
    if (!to.up) {
        // The connection is refused, so the request has not run.
        detector.recordTargetEnd(to.id, m_now);
        if (sent->runs < maxRuns) {
            trySend(sent);
        }
        return;
    }
    for (const std::size_t part : sent->crashing) {
        part_outcome &outcome = m_outcomes[part];
        outcome.reachedLate += outcome.fifthCrash && sinceStart() > *outcome.fifthCrash + m_options.contactTime ? 1 : 0;
    }
    auto running = std::make_shared<run>(run{sent, &to, to.incarnation, m_now, sent->runs > 1});
    detector.addUnansweredRun(sent->parts);
    if (probe) {
        detector.recordPartsProbe(sent->parts, {to.id, to.incarnation}, m_now);
    }
    to.runs.push_back(running);
    constexpr double shortestRead = 30;
    constexpr double readSpread = 120;
    after(milliseconds(static_cast<int>(shortestRead + readSpread * draw() + 3 * static_cast<double>(to.runs.size()))),
          [this, running] {
              begin(running);
          });
}

void crashing_parts_simulation::begin(const std::shared_ptr<run> &running)
{
    if (running->ended) {
        return;
    }
    const std::shared_ptr<request> of = running->of;
    if (!of->crashing.empty()) {
        for (const std::size_t part : of->crashing) {
            part_outcome &outcome = m_outcomes[part];
            outcome.lastCrash = sinceStart();
            if (++outcome.crashes == 5) {
                outcome.fifthCrash = sinceStart();
            }
        }
        crash(*running->at);
        return;
    }
    if (of->runs == 1) {
        m_sound[of->index].begunAtFirstAttempt = true;
    }
    after(eventInterval, [this, running, of] {
        if (running->ended) {
            return;
        }
        running->answered = true;
        crash_detector &detector = *m_processes[of->process];
        detector.removeUnansweredRun(of->parts);
        for (const std::uint64_t part : of->parts) {
            detector.recordAnswer(part, m_now);
        }
    });
    after(answerTime, [this, running, of] {
        if (running->ended) {
            return;
        }
        running->ended = true;
        std::erase(running->at->runs, running);
        m_processes[of->process]->recordAnswer(of->fingerprint, m_now);
        m_processes[of->process]->recordTargetAnswer({running->at->id, running->incarnation}, running->startedAt,
                                                     m_now);
    });
}

void crashing_parts_simulation::crash(target &crashed)
{
    if (!crashed.up) {
        return;
    }
    crashed.up = false;
    for (const std::shared_ptr<run> &lost : std::exchange(crashed.runs, {})) {
        lost->ended = true;
        const std::shared_ptr<request> of = lost->of;
        crash_detector &detector = *m_processes[of->process];
        if (!lost->answered) {
            detector.removeUnansweredRun(of->parts);
        }
        detector.recordLostRun({of->fingerprint,
                                {crashed.id, lost->incarnation},
                                lost->startedAt,
                                true,
                                lost->answered || lost->isRepeat ? std::vector<std::uint64_t>() : of->parts},
                               m_now);
        if (of->runs < maxRuns) {
            trySend(of);
        }
    }
    after(endNotice, [this, &crashed] {
        crashed.listed = false;
        for (const auto &detector : m_processes) {
            detector->recordTargetEnd(crashed.id, m_now);
        }
    });
    after(restartTime, [&crashed] {
        ++crashed.incarnation;
        crashed.up = true;
        crashed.listed = true;
    });
}

void crashing_parts_simulation::exchangeNews()
{
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        crash_detector &detector = *m_processes[index];
        detector.resolveOverdueRuns(m_now, [](const core::instance_ref &) {
            return std::optional<bool>();
        });
        static_cast<void>(detector.takeConfirmedCrashes());
        if (const core::crash_news news = detector.takeNews(m_now); !news.empty()) {
            after(newsTransit, [this, index, news] {
                deliver(index, news);
            });
        }
    }
}

void crashing_parts_simulation::deliver(std::size_t from, const core::crash_news &news)
{
    if (m_cutFrom && from >= *m_cutFrom) {
        return;
    }
    const core::crash_news added = m_agents.merge(news, m_now);
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        if (index != from && !separated(from, index)) {
            const merge_result merged = m_processes[index]->merge(added, m_now);
            if (const core::crash_news acquitted{{}, merged.missedAcquittals}; !acquitted.empty()) {
                after(newsTransit, [this, index, acquitted] {
                    deliver(index, acquitted);
                });
            }
        }
    }
}

bool crashing_parts_simulation::separated(std::size_t left, std::size_t right) const
{
    return m_cutFrom && (left >= *m_cutFrom) != (right >= *m_cutFrom);
}

void crashing_parts_simulation::crashTarget(std::size_t index)
{
    crash(*m_targets[index]);
}

void crashing_parts_simulation::restartProcess(std::size_t index)
{
    for (const auto &each : m_targets) {
        for (const std::shared_ptr<run> &running : each->runs) {
            running->ended = running->ended || running->of->process == index;
        }
        std::erase_if(each->runs, [](const std::shared_ptr<run> &running) {
            return running->ended;
        });
    }
    m_processes[index] = makeDetector(index);
    m_processes[index]->merge({m_agents.records(m_now), {}}, m_now);
}

void crashing_parts_simulation::restartAgents()
{
    m_agents = suspect_table(sharedLimits);
    for (const auto &detector : m_processes) {
        m_agents.merge(detector->snapshot(m_now), m_now);
    }
}

void crashing_parts_simulation::cut(std::optional<std::size_t> first)
{
    const std::optional<std::size_t> healed = std::exchange(m_cutFrom, first);
    // New links: both sides tell all that they know.
    for (std::size_t index = healed.value_or(m_processes.size()); index < m_processes.size(); ++index) {
        deliver(index, m_processes[index]->snapshot(m_now));
        m_processes[index]->merge({m_agents.records(m_now), {}}, m_now);
    }
}

const crashing_parts_simulation::part_outcome &crashing_parts_simulation::outcomeOf(std::size_t crashingPart) const
{
    return m_outcomes.at(crashingPart);
}

std::size_t crashing_parts_simulation::maxReachedLate() const
{
    return std::ranges::max_element(m_outcomes, {}, &part_outcome::reachedLate)->reachedLate;
}

double crashing_parts_simulation::servedShare(milliseconds from, milliseconds until) const
{
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const sound_outcome &one : m_sound) {
        if (one.sentAt >= from && one.sentAt < until) {
            ++sent;
            served += one.begunAtFirstAttempt ? 1 : 0;
        }
    }
    return sent == 0 ? 0 : static_cast<double>(served) / static_cast<double>(sent);
}

std::size_t crashing_parts_simulation::refusedSoundParts() const
{
    std::size_t refused = 0;
    for (std::uint64_t part = 0; part < secondParts; ++part) {
        const std::vector<std::uint64_t> parts{firstPart, firstSecondPart + part};
        refused += std::ranges::any_of(m_processes, [&](const auto &detector) {
            return detector->statusOfParts(parts, m_now) == suspect_status::refused;
        });
    }
    return refused;
}

void crashing_parts_simulation::after(milliseconds time, std::function<void()> work)
{
    m_events.emplace(m_now + time, std::move(work));
}

double crashing_parts_simulation::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

milliseconds crashing_parts_simulation::sinceStart() const
{
    return std::chrono::duration_cast<milliseconds>(m_now - start);
}

} // namespace medlarrack::suspects::testing
