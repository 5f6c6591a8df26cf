#include <medlarrack/suspects/crash_detector.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace medlarrack::suspects {

namespace {

using std::chrono::milliseconds;

/// Time within which a running target has answered, or its agent has reported it: a report may wait 500 ms for its
/// answer, and reports are at most 650 ms apart.
constexpr milliseconds livenessTimeout{1'500};
/// Delay before a single crash is reported. Most requests that lose one run are answered by another target within this
/// time, and then nothing needs to be reported.
constexpr milliseconds reportDelay{1'000};
/// The same for parts of prompts: other requests with a sound part are usually answered within this time.
constexpr milliseconds partReportDelay{300};
/// Delay before a probe is reported. Targets that reject it, and most callers that leave it, do so within this time.
constexpr milliseconds probeReportDelay{300};
/// How long the end of a target is kept. Lost runs are noticed within this time, because callers wait less.
constexpr milliseconds targetEndRetention{15'000};
/// Limit of unresolved lost runs. Enough for all runs on the engines of one data centre.
constexpr std::size_t maxUnresolvedRuns = 8'192;
/// Delay between the last crash of a refused request and its first probe. Each unanswered probe multiplies the delay by
/// probeBackoffFactor. Probing ends after crashesToRefuse unanswered probes (three with sharedLimits).
constexpr milliseconds firstProbeDelay{2'000};
/// Range of the jitter added to the delay, so that the first process to probe has reported it before others probe too.
constexpr milliseconds probeJitter{3'000};
/// The same for parts of prompts, which requests at all processes may have at any time.
constexpr milliseconds firstPartProbeDelay{5'000};
constexpr milliseconds partProbeJitter{20'000};
/// The same for parts whose crashes other suspects explain.
constexpr milliseconds explainedProbeDelay{1'000};
constexpr milliseconds explainedProbeJitter{10'000};
constexpr int probeBackoffFactor = 40;
/// Time without crashes before a probe may be sent. Otherwise the probe could be lost in a crash that another request
/// caused.
constexpr milliseconds crashFreeTimeBeforeProbe{1'500};
/// How long answers are kept to be compared with crashes reported by other processes.
constexpr milliseconds answerRetention{10'000};
constexpr std::size_t maxAnswers = 16'384;
/// Limit of stored acquittals; the oldest is dropped first.
constexpr std::size_t maxAcquittals = 1'024;
/// Crashes of one request that are reported without reportDelay.
constexpr std::size_t crashesToReportAtOnce = 2;
/// Crashes up to which a part that was never answered is excused if other suspects explain them.
constexpr std::size_t maxExcusedCrashes = 4;
/// Crashes from which on runs with a part of prompts wait for each other. A part that was answered before is more
/// likely to have been beside the cause.
constexpr std::size_t crashesToIsolate = 1;
constexpr std::size_t crashesToIsolateAnswered = 2;
/// Limit of crashes in one report; the others follow in the next one.
constexpr std::size_t maxCrashesPerReport = 512;

milliseconds elapsed(core::monotonic_time then, core::monotonic_time now)
{
    return std::chrono::duration_cast<milliseconds>(now - then);
}

} // namespace

crash_detector::crash_detector(suspect_limits limits, std::uint64_t seed)
    : m_limits(limits)
    , m_table(limits)
    , m_seed(seed)
{
}

suspect_status crash_detector::statusOf(std::uint64_t fingerprint, core::monotonic_time now,
                                        std::span<const std::uint64_t> parts) const
{
    return explained(statusWithoutExplanation(fingerprint, now), fingerprint, parts, now);
}

suspect_status crash_detector::confirmedStatusOf(std::uint64_t fingerprint, core::monotonic_time now,
                                                 std::span<const std::uint64_t> parts) const
{
    return explained(m_table.statusOf(fingerprint, now), fingerprint, parts, now);
}

suspect_status crash_detector::explained(suspect_status status, std::uint64_t fingerprint,
                                         std::span<const std::uint64_t> parts, core::monotonic_time now) const
{
    const bool isExcused = status == suspect_status::refused && lastAnswer(fingerprint)
        && explanationFor(fingerprint, parts, now) == part_explanation::excused;
    return isExcused ? suspect_status::suspect : status;
}

suspect_status crash_detector::statusWithoutExplanation(std::uint64_t fingerprint, core::monotonic_time now) const
{
    if (!m_unresolvedPerRequest.contains(fingerprint)) {
        return m_table.statusOf(fingerprint, now);
    }
    std::vector<crash> possible;
    for (const auto &[target, runs] : m_unresolvedRuns) {
        for (const unresolved_run &unresolved : runs) {
            if (unresolved.run.fingerprint == fingerprint) {
                possible.push_back({targetHash(unresolved.run.target), unresolved.lostAt,
                                    unresolved.lostAt - unresolved.run.startedAt});
            }
        }
    }
    return m_table.crashCountWith(fingerprint, possible, now) >= m_limits.crashesToRefuse ? suspect_status::refused
                                                                                          : suspect_status::suspect;
}

suspect_status crash_detector::statusOfParts(std::span<const std::uint64_t> parts, core::monotonic_time now) const
{
    auto status = suspect_status::clear;
    for (const std::uint64_t part : parts) {
        if (m_table.statusOf(part, now) == suspect_status::clear) {
            continue;
        }
        status = suspect_status::suspect;
        if (isPartRefused(part, parts, now)) {
            return suspect_status::refused;
        }
    }
    return status;
}

crash_detector::part_explanation
crash_detector::explanationFor(std::uint64_t part, std::span<const std::uint64_t> parts, core::monotonic_time now) const
{
    const bool wasAnswered = lastAnswer(part).has_value();
    const std::size_t count = m_table.crashCount(part, now);
    const auto mayExplain = [&](std::uint64_t other, std::size_t otherCount) {
        if (std::find(parts.begin(), parts.end(), other) != parts.end()) {
            return false;
        }
        const bool otherWasAnswered = lastAnswer(other).has_value();
        return wasAnswered != otherWasAnswered ? wasAnswered : otherCount >= count;
    };
    const std::vector<crash> unexplained = m_table.unexplainedCrashes(part, mayExplain, now);
    if (unexplained.size() * 2 >= m_table.crashesOf(part, now).size()
        || m_table.countSequential(unexplained) >= m_limits.crashesToRefuse) {
        return part_explanation::none;
    }
    return wasAnswered || count <= maxExcusedCrashes ? part_explanation::excused : part_explanation::likely;
}

bool crash_detector::isPartRefused(std::uint64_t part, std::span<const std::uint64_t> parts,
                                   core::monotonic_time now) const
{
    return m_table.statusOf(part, now) == suspect_status::refused
        && explanationFor(part, parts, now) != part_explanation::excused;
}

bool crash_detector::mustCancel(std::uint64_t fingerprint, std::span<const std::uint64_t> parts,
                                core::monotonic_time now) const
{
    if (!lastAnswer(fingerprint) && confirmedStatusOf(fingerprint, now, parts) == suspect_status::refused) {
        return true;
    }
    return std::any_of(parts.begin(), parts.end(), [&](std::uint64_t part) {
        return !lastAnswer(part) && isPartRefused(part, parts, now);
    });
}

bool crash_detector::mustWait(std::span<const std::uint64_t> parts, core::monotonic_time now) const
{
    return std::any_of(parts.begin(), parts.end(), [&](std::uint64_t part) {
        return m_unansweredRuns.contains(part)
            && m_table.crashCount(part, now) >= (lastAnswer(part) ? crashesToIsolateAnswered : crashesToIsolate);
    });
}

void crash_detector::addUnansweredRun(std::span<const std::uint64_t> parts)
{
    for (const std::uint64_t part : parts) {
        ++m_unansweredRuns[part];
    }
}

void crash_detector::removeUnansweredRun(std::span<const std::uint64_t> parts)
{
    for (const std::uint64_t part : parts) {
        if (const auto found = m_unansweredRuns.find(part); found != m_unansweredRuns.end() && --found->second == 0) {
            m_unansweredRuns.erase(found);
        }
    }
}

bool crash_detector::mayProbe(std::uint64_t fingerprint, core::monotonic_time now) const
{
    return mayProbe(fingerprint, firstProbeDelay, probeJitter, now);
}

bool crash_detector::mayProbeParts(std::span<const std::uint64_t> parts, core::monotonic_time now) const
{
    return std::all_of(parts.begin(), parts.end(), [&](std::uint64_t part) {
        if (!isPartRefused(part, parts, now)) {
            return true;
        }
        return explanationFor(part, parts, now) == part_explanation::none
            ? mayProbe(part, firstPartProbeDelay, partProbeJitter, now)
            : mayProbe(part, explainedProbeDelay, explainedProbeJitter, now);
    });
}

bool crash_detector::mayProbe(std::uint64_t fingerprint, milliseconds firstDelay, milliseconds jitterRange,
                              core::monotonic_time now) const
{
    const std::span<const crash> crashes = m_table.crashesOf(fingerprint, now);
    if (crashes.empty() || m_unresolvedPerRequest.contains(fingerprint)) {
        return false;
    }
    milliseconds wait = firstDelay;
    core::monotonic_time last = crashes.front().at;
    std::size_t probes = 0;
    for (const crash &known : crashes) {
        last = std::max(last, known.at);
        if (known.probe) {
            ++probes;
            wait *= probeBackoffFactor;
        }
    }
    const auto jitter = milliseconds((fingerprint ^ m_seed) % static_cast<std::uint64_t>(jitterRange.count()));
    const core::monotonic_time due = std::max(last + wait, m_lastCrash + crashFreeTimeBeforeProbe) + jitter;
    return probes < m_limits.crashesToRefuse && now >= due;
}

void crash_detector::recordProbe(std::uint64_t fingerprint, const core::instance_ref &target, core::monotonic_time now)
{
    m_table.recordProbe(fingerprint, target, now);
    m_unreportedCrashes.push_back({fingerprint, {targetHash(target), now, {}, true}});
}

void crash_detector::recordPartsProbe(std::span<const std::uint64_t> parts, const core::instance_ref &target,
                                      core::monotonic_time now)
{
    for (const std::uint64_t part : parts) {
        if (isPartRefused(part, parts, now)) {
            recordProbe(part, target, now);
        }
    }
}

void crash_detector::withdrawProbes(const core::instance_ref &target, core::monotonic_time sentAt)
{
    std::erase_if(m_unreportedCrashes, [&](const unreported_crash &unreported) {
        const crash &details = unreported.details;
        const bool isWithdrawn = details.probe && details.target == targetHash(target) && details.at >= sentAt;
        if (isWithdrawn) {
            m_table.withdrawProbe(unreported.fingerprint, details);
        }
        return isWithdrawn;
    });
}

void crash_detector::recordLostRun(const lost_run &run, core::monotonic_time now)
{
    if (run.disconnected && startedAfterDisconnect(run, now)) {
        return;
    }
    const unresolved_run lost{run, now};
    const auto ended = m_targetEnds.find(run.target.id);
    if (ended != m_targetEnds.end() && ended->second >= run.startedAt) {
        confirm(lost, "the target had ended", now);
        return;
    }
    if (m_unresolvedCount >= maxUnresolvedRuns) {
        return;
    }
    m_unresolvedRuns[run.target.id].push_back(lost);
    ++m_unresolvedPerRequest[run.fingerprint];
    ++m_unresolvedCount;
}

bool crash_detector::startedAfterDisconnect(const lost_run &run, core::monotonic_time now)
{
    first_disconnect &first =
        m_firstDisconnects.try_emplace(run.target.id, first_disconnect{run.target.incarnation, now}).first->second;
    if (first.incarnation != run.target.incarnation) {
        first = {run.target.incarnation, now};
    }
    return run.startedAt > first.at;
}

void crash_detector::recordTargetAnswer(const core::instance_ref &target, core::monotonic_time sentAt,
                                        core::monotonic_time now)
{
    if (const auto disconnect = m_firstDisconnects.find(target.id);
        disconnect != m_firstDisconnects.end() && disconnect->second.at <= sentAt) {
        m_firstDisconnects.erase(disconnect);
    }
    for (const unresolved_run &unresolved : extractRuns(target.id, [sentAt](const unresolved_run &run) {
             return run.lostAt <= sentAt;
         })) {
        if (unresolved.run.target.incarnation != target.incarnation) {
            confirm(unresolved, "the target was started anew", now);
        }
    }
}

void crash_detector::recordTargetEnd(std::string_view id, core::monotonic_time now)
{
    m_targetEnds.insert_or_assign(std::string(id), now);
    for (const unresolved_run &unresolved : extractRuns(id, [](const unresolved_run &) {
             return true;
         })) {
        confirm(unresolved, "the target ended", now);
    }
}

void crash_detector::recordAnswer(std::uint64_t fingerprint, core::monotonic_time now)
{
    if (m_unresolvedPerRequest.contains(fingerprint)) {
        extractAllRuns([fingerprint](const unresolved_run &unresolved) {
            return unresolved.run.fingerprint == fingerprint;
        });
    }
    rememberAnswer({fingerprint, now});
    const std::size_t known = m_table.crashCount(fingerprint, now);
    if (!m_table.acquit(fingerprint, now, now)) {
        return;
    }
    rememberAcquittal(fingerprint, now);
    const auto unreported = std::erase_if(m_unreportedCrashes, [fingerprint](const unreported_crash &pending) {
        return pending.fingerprint == fingerprint;
    });
    if (unreported < known) {
        m_unreportedAcquittals.push_back({fingerprint, now});
    }
}

void crash_detector::resolveOverdueRuns(core::monotonic_time now,
                                        const std::function<std::optional<bool>(const core::instance_ref &)> &isAlive)
{
    std::erase_if(m_targetEnds, [now](const auto &entry) {
        return now - entry.second > targetEndRetention;
    });
    std::erase_if(m_firstDisconnects, [now](const auto &entry) {
        return now - entry.second.at > targetEndRetention;
    });
    for (const unresolved_run &unresolved : extractAllRuns([now](const unresolved_run &run) {
             return now - run.lostAt >= livenessTimeout;
         })) {
        const std::optional<bool> alive = isAlive(unresolved.run.target);
        if (alive == false) {
            confirm(unresolved, "the target has gone", now);
        } else if (!alive && unresolved.run.disconnected) {
            confirm(unresolved, "the target ended the connection and was not heard of since", now);
        }
    }
}

std::vector<confirmed_crash> crash_detector::takeConfirmedCrashes()
{
    return std::exchange(m_confirmed, {});
}

core::crash_news crash_detector::takeNews(core::monotonic_time now)
{
    core::crash_news news;
    std::vector<unreported_crash> postponed;
    for (const unreported_crash &unreported : m_unreportedCrashes) {
        const core::monotonic_time at = unreported.details.at;
        const bool due = unreported.details.probe ? now - at >= probeReportDelay
                                                  : now - at >= (unreported.isPart ? partReportDelay : reportDelay)
                || m_table.crashCount(unreported.fingerprint, now) >= crashesToReportAtOnce;
        if (due && news.crashes.size() < maxCrashesPerReport) {
            news.crashes.push_back(
                {unreported.fingerprint, unreported.details.target, elapsed(unreported.details.at, now),
                 std::chrono::duration_cast<milliseconds>(unreported.details.runTime), unreported.details.probe});
        } else {
            postponed.push_back(unreported);
        }
    }
    m_unreportedCrashes = std::move(postponed);
    for (const auto &[fingerprint, at] : std::exchange(m_unreportedAcquittals, {})) {
        news.acquittals.push_back({fingerprint, elapsed(at, now)});
    }
    return news;
}

core::crash_news crash_detector::snapshot(core::monotonic_time now) const
{
    return {m_table.records(now), {}};
}

crash_batches crash_detector::batches() const
{
    return crash_batches(m_table);
}

merge_result crash_detector::merge(const core::crash_news &received, core::monotonic_time now)
{
    merge_result merged;
    core::crash_news relevant{{}, received.acquittals};
    for (const core::crash_record &record : received.crashes) {
        m_lastCrash = std::max(m_lastCrash, now - record.age);
        const auto answeredAt = lastAnswer(record.fingerprint);
        if (!answeredAt || *answeredAt < now - record.age) {
            relevant.crashes.push_back(record);
        } else if (merged.missedAcquittals.empty()
                   || merged.missedAcquittals.back().fingerprint != record.fingerprint) {
            merged.missedAcquittals.push_back({record.fingerprint, elapsed(*answeredAt, now)});
        }
    }
    merged.added = m_table.merge(relevant, now);
    for (const core::acquittal &acquittal : merged.added.acquittals) {
        rememberAcquittal(acquittal.fingerprint, now - acquittal.age);
    }
    return merged;
}

std::size_t crash_detector::size() const
{
    return m_table.size();
}

void crash_detector::confirm(const unresolved_run &unresolved, std::string_view evidence, core::monotonic_time now)
{
    confirmFor(unresolved.run.fingerprint, false, unresolved, evidence, now);
    for (const std::uint64_t part : unresolved.run.parts) {
        confirmFor(part, true, unresolved, evidence, now);
    }
}

void crash_detector::confirmFor(std::uint64_t fingerprint, bool isPart, const unresolved_run &unresolved,
                                std::string_view evidence, core::monotonic_time now)
{
    if (const auto answeredAt = lastAnswer(fingerprint); answeredAt && *answeredAt >= unresolved.lostAt) {
        return;
    }
    const crash details{targetHash(unresolved.run.target), unresolved.lostAt,
                        unresolved.lostAt - unresolved.run.startedAt};
    m_lastCrash = std::max(m_lastCrash, unresolved.lostAt);
    const std::size_t countBefore = m_table.crashCount(fingerprint, now);
    if (!m_table.recordCrash(fingerprint, unresolved.run.target, unresolved.lostAt, details.runTime)) {
        return;
    }
    m_unreportedCrashes.push_back({fingerprint, details, isPart});
    if (const std::size_t count = m_table.crashCount(fingerprint, now); count > countBefore) {
        m_confirmed.push_back({fingerprint, isPart, unresolved.run.target.id, details.runTime, evidence, count});
    }
}

void crash_detector::decrementUnresolved(const unresolved_run &unresolved)
{
    --m_unresolvedCount;
    const auto found = m_unresolvedPerRequest.find(unresolved.run.fingerprint);
    if (--found->second == 0) {
        m_unresolvedPerRequest.erase(found);
    }
}

void crash_detector::rememberAnswer(const answer_time &answer)
{
    m_lastAnswers.insert_or_assign(answer.fingerprint, answer.at);
    m_answerOrder.push_back(answer);
    while (m_answerOrder.size() > maxAnswers || answer.at - m_answerOrder.front().at > answerRetention) {
        const answer_time oldest = m_answerOrder.front();
        m_answerOrder.pop_front();
        const auto found = m_lastAnswers.find(oldest.fingerprint);
        if (found != m_lastAnswers.end() && found->second <= oldest.at) {
            m_lastAnswers.erase(found);
        }
    }
}

void crash_detector::rememberAcquittal(std::uint64_t fingerprint, core::monotonic_time answeredAt)
{
    if (m_acquittals.size() >= maxAcquittals && !m_acquittals.contains(fingerprint)) {
        m_acquittals.erase(std::ranges::min_element(m_acquittals, {}, [](const auto &entry) {
            return entry.second;
        }));
    }
    core::monotonic_time &known = m_acquittals[fingerprint];
    known = std::max(known, answeredAt);
}

std::optional<core::monotonic_time> crash_detector::lastAnswer(std::uint64_t fingerprint) const
{
    std::optional<core::monotonic_time> last;
    for (const auto *answers : {&m_lastAnswers, &m_acquittals}) {
        if (const auto found = answers->find(fingerprint); found != answers->end()) {
            last = std::max(last, std::optional(found->second));
        }
    }
    return last;
}

std::vector<crash_detector::unresolved_run>
crash_detector::extractAllRuns(const std::function<bool(const unresolved_run &)> &condition)
{
    std::vector<std::string> targets;
    for (const auto &[target, runs] : m_unresolvedRuns) {
        targets.push_back(target);
    }
    std::vector<unresolved_run> extracted;
    for (const std::string &target : targets) {
        std::ranges::move(extractRuns(target, condition), std::back_inserter(extracted));
    }
    return extracted;
}

std::vector<crash_detector::unresolved_run>
crash_detector::extractRuns(std::string_view target, const std::function<bool(const unresolved_run &)> &condition)
{
    std::vector<unresolved_run> extracted;
    const auto found = m_unresolvedRuns.find(target);
    if (found == m_unresolvedRuns.end()) {
        return extracted;
    }
    std::erase_if(found->second, [&](const unresolved_run &unresolved) {
        if (!condition(unresolved)) {
            return false;
        }
        extracted.push_back(unresolved);
        decrementUnresolved(unresolved);
        return true;
    });
    if (found->second.empty()) {
        m_unresolvedRuns.erase(found);
    }
    return extracted;
}

} // namespace medlarrack::suspects
