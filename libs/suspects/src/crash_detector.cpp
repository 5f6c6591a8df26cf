#include <medlarrack/suspects/crash_detector.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace medlarrack::suspects {

namespace {

using std::chrono::milliseconds;

/// A living target has answered, or its agent has reported it, by then: a report may wait 500 ms for its answer and
/// comes each 650 ms at the latest.
constexpr milliseconds settleTime{1'500};
/// A request that lost one run is mostly answered at another target within this; nobody need hear of it then.
constexpr milliseconds tellAfter{1'000};
/// Runs at a target that has ended are found lost within this: callers' longest waits are shorter.
constexpr milliseconds endMemory{15'000};
/// Lost runs under judgement; the runs of a whole data centre's engines.
constexpr std::size_t maxOpen = 8'192;
/// A refused request is probed this long after its last crash, and up to the spread later, so that the first process
/// that does so has told the others before they do. Each probe without an answer makes the next one wait longer; after
/// three there is none.
constexpr milliseconds firstProbeAfter{2'000};
constexpr std::uint64_t probeSpread = 3'000;
constexpr int probePauseFactor = 40;
/// No request is probed while targets crash: it would be lost with another's.
constexpr milliseconds calmBeforeProbe{1'500};
/// Answers remembered: what other processes say of crashes is compared with them for this long.
constexpr milliseconds answerMemory{10'000};
constexpr std::size_t maxAnswers = 16'384;
/// Ended suspicions remembered; the oldest are forgotten first.
constexpr std::size_t maxCleared = 1'024;
/// Crashes of one request from which it is told at once.
constexpr std::size_t crashesToTell = 2;
/// Crashes told at once; more wait for the next time.
constexpr std::size_t maxNews = 512;

milliseconds since(core::monotonic_time then, core::monotonic_time now)
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

suspect_status crash_detector::statusOf(std::uint64_t fingerprint, core::monotonic_time now) const
{
    if (!m_openRuns.contains(fingerprint)) {
        return m_table.statusOf(fingerprint, now);
    }
    std::vector<crash> possible;
    for (const auto &[target, runs] : m_open) {
        for (const open_run &one : runs) {
            if (one.run.fingerprint == fingerprint) {
                possible.push_back({targetHash(one.run.target), one.lostAt, one.lostAt - one.run.startedAt});
            }
        }
    }
    return m_table.crashCountWith(fingerprint, possible, now) >= m_limits.crashesToRefuse ? suspect_status::refused
                                                                                          : suspect_status::suspect;
}

bool crash_detector::mayProbe(std::uint64_t fingerprint, core::monotonic_time now) const
{
    const std::span<const crash> crashes = m_table.crashesOf(fingerprint, now);
    if (crashes.empty() || m_openRuns.contains(fingerprint) || now - m_lastCrash < calmBeforeProbe) {
        return false;
    }
    milliseconds wait = firstProbeAfter;
    core::monotonic_time last = crashes.front().at;
    std::size_t probes = 0;
    for (const crash &one : crashes) {
        last = std::max(last, one.at);
        if (one.probe) {
            ++probes;
            wait *= probePauseFactor;
        }
    }
    const auto spread = milliseconds((fingerprint ^ m_seed) % probeSpread);
    return probes < m_limits.crashesToRefuse && now - last >= wait + spread;
}

void crash_detector::recordProbe(std::uint64_t fingerprint, const core::instance_ref &target, core::monotonic_time now)
{
    m_table.recordProbe(fingerprint, target, now);
    m_untold.push_back({fingerprint, {targetHash(target), now, {}, true}});
}

void crash_detector::recordLostRun(const lost_run &run, core::monotonic_time now)
{
    if (run.disconnected && isAfterFirstLoss(run, now)) {
        return;
    }
    const open_run lost{run, now};
    const auto ended = m_ended.find(run.target.id);
    if (ended != m_ended.end() && ended->second >= run.startedAt) {
        believe(lost, "the target had ended", now);
        return;
    }
    if (m_openCount >= maxOpen) {
        return;
    }
    m_open[run.target.id].push_back(lost);
    ++m_openRuns[run.fingerprint];
    ++m_openCount;
}

bool crash_detector::isAfterFirstLoss(const lost_run &run, core::monotonic_time now)
{
    first_loss &first = m_firstLoss.try_emplace(run.target.id, first_loss{run.target.incarnation, now}).first->second;
    if (first.incarnation != run.target.incarnation) {
        first = {run.target.incarnation, now};
    }
    return run.startedAt > first.at;
}

void crash_detector::recordTargetAnswer(const core::instance_ref &target, core::monotonic_time sentAt,
                                        core::monotonic_time now)
{
    if (const auto loss = m_firstLoss.find(target.id); loss != m_firstLoss.end() && loss->second.at <= sentAt) {
        m_firstLoss.erase(loss);
    }
    for (const open_run &one : take(target.id, [sentAt](const open_run &run) {
             return run.lostAt <= sentAt;
         })) {
        if (one.run.target.incarnation != target.incarnation) {
            believe(one, "the target was started anew", now);
        }
    }
}

void crash_detector::recordTargetEnd(std::string_view id, core::monotonic_time now)
{
    m_ended.insert_or_assign(std::string(id), now);
    for (const open_run &one : take(id, [](const open_run &) {
             return true;
         })) {
        believe(one, "the target ended", now);
    }
}

void crash_detector::recordAnswer(std::uint64_t fingerprint, core::monotonic_time now)
{
    if (m_openRuns.contains(fingerprint)) {
        takeAnywhere([fingerprint](const open_run &one) {
            return one.run.fingerprint == fingerprint;
        });
    }
    remember({fingerprint, now});
    const std::size_t known = m_table.crashCount(fingerprint, now);
    if (!m_table.acquit(fingerprint, now, now)) {
        return;
    }
    cleared(fingerprint, now);
    const auto untold = std::erase_if(m_untold, [fingerprint](const untold_crash &one) {
        return one.fingerprint == fingerprint;
    });
    if (untold < known) {
        m_acquitted.push_back({fingerprint, now});
    }
}

void crash_detector::resolveOverdueRuns(core::monotonic_time now,
                                        const std::function<std::optional<bool>(const core::instance_ref &)> &isAlive)
{
    std::erase_if(m_ended, [now](const auto &entry) {
        return now - entry.second > endMemory;
    });
    std::erase_if(m_firstLoss, [now](const auto &entry) {
        return now - entry.second.at > endMemory;
    });
    for (const open_run &one : takeAnywhere([now](const open_run &run) {
             return now - run.lostAt >= settleTime;
         })) {
        const std::optional<bool> alive = isAlive(one.run.target);
        if (alive == false) {
            believe(one, "the target has gone", now);
        } else if (!alive && one.run.disconnected) {
            believe(one, "the target ended the connection and was not heard of since", now);
        }
    }
}

std::vector<confirmed_crash> crash_detector::takeConfirmedCrashes()
{
    return std::exchange(m_believed, {});
}

core::crash_news crash_detector::takeNews(core::monotonic_time now)
{
    core::crash_news news;
    std::vector<untold_crash> later;
    for (const untold_crash &one : m_untold) {
        const bool due = now - one.what.at >= tellAfter || m_table.crashCount(one.fingerprint, now) >= crashesToTell;
        if (due && news.crashes.size() < maxNews) {
            news.crashes.push_back({one.fingerprint, one.what.target, since(one.what.at, now),
                                    std::chrono::duration_cast<milliseconds>(one.what.runTime), one.what.probe});
        } else {
            later.push_back(one);
        }
    }
    m_untold = std::move(later);
    for (const auto &[fingerprint, at] : std::exchange(m_acquitted, {})) {
        news.acquittals.push_back({fingerprint, since(at, now)});
    }
    return news;
}

core::crash_news crash_detector::snapshot(core::monotonic_time now) const
{
    return {m_table.records(now), {}};
}

merge_result crash_detector::merge(const core::crash_news &told, core::monotonic_time now)
{
    merge_result merged;
    core::crash_news credible{{}, told.acquittals};
    for (const core::crash_record &one : told.crashes) {
        m_lastCrash = std::max(m_lastCrash, now - one.age);
        const auto lastAt = lastAnswer(one.fingerprint);
        if (!lastAt || *lastAt < now - one.age) {
            credible.crashes.push_back(one);
        } else if (merged.missedAcquittals.empty() || merged.missedAcquittals.back().fingerprint != one.fingerprint) {
            merged.missedAcquittals.push_back({one.fingerprint, since(*lastAt, now)});
        }
    }
    merged.added = m_table.merge(credible, now);
    for (const core::acquittal &one : merged.added.acquittals) {
        cleared(one.fingerprint, now - one.age);
    }
    return merged;
}

std::size_t crash_detector::size() const
{
    return m_table.size();
}

void crash_detector::believe(const open_run &run, std::string_view evidence, core::monotonic_time now)
{
    if (const auto lastAt = lastAnswer(run.run.fingerprint); lastAt && *lastAt >= run.lostAt) {
        return;
    }
    const crash what{targetHash(run.run.target), run.lostAt, run.lostAt - run.run.startedAt};
    m_lastCrash = std::max(m_lastCrash, run.lostAt);
    if (!m_table.recordCrash(run.run.fingerprint, run.run.target, run.lostAt, what.runTime)) {
        return;
    }
    m_untold.push_back({run.run.fingerprint, what});
    m_believed.push_back(
        {run.run.fingerprint, run.run.target.id, what.runTime, evidence, m_table.crashCount(run.run.fingerprint, now)});
}

void crash_detector::close(const open_run &run)
{
    --m_openCount;
    const auto found = m_openRuns.find(run.run.fingerprint);
    if (--found->second == 0) {
        m_openRuns.erase(found);
    }
}

void crash_detector::remember(const answer &given)
{
    m_answered.insert_or_assign(given.fingerprint, given.at);
    m_answers.push_back(given);
    while (m_answers.size() > maxAnswers || given.at - m_answers.front().at > answerMemory) {
        const answer oldest = m_answers.front();
        m_answers.pop_front();
        const auto found = m_answered.find(oldest.fingerprint);
        if (found != m_answered.end() && found->second <= oldest.at) {
            m_answered.erase(found);
        }
    }
}

void crash_detector::cleared(std::uint64_t fingerprint, core::monotonic_time answeredAt)
{
    if (m_cleared.size() >= maxCleared && !m_cleared.contains(fingerprint)) {
        m_cleared.erase(std::ranges::min_element(m_cleared, {}, [](const auto &entry) {
            return entry.second;
        }));
    }
    core::monotonic_time &known = m_cleared[fingerprint];
    known = std::max(known, answeredAt);
}

std::optional<core::monotonic_time> crash_detector::lastAnswer(std::uint64_t fingerprint) const
{
    std::optional<core::monotonic_time> last;
    for (const auto *answers : {&m_answered, &m_cleared}) {
        if (const auto found = answers->find(fingerprint); found != answers->end()) {
            last = std::max(last, std::optional(found->second));
        }
    }
    return last;
}

std::vector<crash_detector::open_run>
crash_detector::takeAnywhere(const std::function<bool(const open_run &)> &condition)
{
    std::vector<std::string> targets;
    for (const auto &[target, runs] : m_open) {
        targets.push_back(target);
    }
    std::vector<open_run> taken;
    for (const std::string &target : targets) {
        std::ranges::move(take(target, condition), std::back_inserter(taken));
    }
    return taken;
}

std::vector<crash_detector::open_run> crash_detector::take(std::string_view target,
                                                           const std::function<bool(const open_run &)> &condition)
{
    std::vector<open_run> taken;
    const auto found = m_open.find(target);
    if (found == m_open.end()) {
        return taken;
    }
    std::erase_if(found->second, [&](const open_run &one) {
        if (!condition(one)) {
            return false;
        }
        taken.push_back(one);
        close(one);
        return true;
    });
    if (found->second.empty()) {
        m_open.erase(found);
    }
    return taken;
}

} // namespace medlarrack::suspects
