#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/crash_record.hpp>
#include <medlarrack/core/instance_ref.hpp>
#include <medlarrack/suspects/crash_batches.hpp>
#include <medlarrack/suspects/suspect_table.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlarrack::suspects {

/// A run of a request that ended without an answer.
struct lost_run
{
    std::uint64_t fingerprint = 0;
    core::instance_ref target;
    core::monotonic_time startedAt{};
    /// Whether the target closed the connection. If not, the target was silent or the caller stopped waiting.
    bool disconnected = false;
    /// Fingerprints of the shared parts of its prompt. Empty if the target had already been writing the answer, because
    /// targets crash on a part when they begin to write, and for further runs of one request: one that is lost again
    /// and again beside crashes of another cause is weak evidence against what it shares with others.
    std::vector<std::uint64_t> parts;
};

/// A target crash that has been attributed to a request, or to a part of its prompt.
struct confirmed_crash
{
    std::uint64_t fingerprint = 0;
    bool isPart = false;
    std::string target;
    std::chrono::nanoseconds runTime{0};
    /// Observation that confirmed the crash, for the log.
    std::string_view evidence;
    /// Known crashes of the request, including this one.
    std::size_t crashCount = 0;
};

/// Result of merging the crash news of another process.
struct merge_result
{
    /// The part of the news that was not known before.
    core::crash_news added;
    /// Requests that were answered after crashes in the news; the sender has missed these acquittals.
    std::vector<core::acquittal> missedAcquittals;
};

/// Detects which lost runs were target crashes, and selects what to report to other processes. A run can be lost for
/// many reasons; it counts against its request only if the target has ended. Detects a request that crashes every
/// target that runs it and is retried by its caller at any process, and distinguishes it from requests that only ran
/// at the same time. A request that many callers send and that runs on every crashing target isn't refused as long as
/// it is still answered.
///
/// The same holds for parts of prompts, by which requests that are all different crash targets. Each crash speaks
/// against all parts of the requests whose answers had not begun, and each answer that begins speaks for all of its
/// parts. Not thread-safe.
class crash_detector
{
public:
    /// The seed spreads the probes of different processes over time.
    explicit crash_detector(suspect_limits limits = sharedLimits, std::uint64_t seed = 0);

    /// Current status of a request. Lost runs whose cause isn't known yet count as crashes. A request that was answered
    /// before isn't refused if other suspects that never were, and aren't among the parts of its prompt, explain its
    /// crashes.
    [[nodiscard]] suspect_status statusOf(std::uint64_t fingerprint, core::monotonic_time now,
                                          std::span<const std::uint64_t> parts = {}) const;
    /// The same by confirmed crashes alone: runs that were lost without an end of their target don't count.
    [[nodiscard]] suspect_status confirmedStatusOf(std::uint64_t fingerprint, core::monotonic_time now,
                                                   std::span<const std::uint64_t> parts = {}) const;

    /// Current status of a request because of the parts of its prompt. A part is refused unless other suspects, which
    /// the request doesn't contain, explain its crashes better: they were there too, and were never answered while the
    /// part was, or have as many crashes.
    [[nodiscard]] suspect_status statusOfParts(std::span<const std::uint64_t> parts, core::monotonic_time now) const;
    /// Whether a run that may still be answered has to end, because the request or a part of its prompt is refused by
    /// confirmed crashes. What was answered shortly before its crashes may only have run beside their cause.
    [[nodiscard]] bool mustCancel(std::uint64_t fingerprint, std::span<const std::uint64_t> parts,
                                  core::monotonic_time now) const;
    /// Whether a run of a request has to wait: a part of its prompt may crash targets, and this process already runs a
    /// request with that part whose answer has not begun. One run is enough to find out.
    [[nodiscard]] bool mustWait(std::span<const std::uint64_t> parts, core::monotonic_time now) const;
    /// Counts a run with these parts from its start until its answer has begun or it has ended.
    void addUnansweredRun(std::span<const std::uint64_t> parts);
    void removeUnansweredRun(std::span<const std::uint64_t> parts);

    /// Whether a refused request may be run once as a probe. Probes are rare and are sent only after a period without
    /// crashes. The answer to a probe clears a request that only ran while others crashed their targets.
    [[nodiscard]] bool mayProbe(std::uint64_t fingerprint, core::monotonic_time now) const;
    /// The same for a request that is refused because of its parts.
    [[nodiscard]] bool mayProbeParts(std::span<const std::uint64_t> parts, core::monotonic_time now) const;
    /// Records that a refused request was sent to a target as a probe. The probe counts, and is reported, as a crash
    /// until it is answered.
    void recordProbe(std::uint64_t fingerprint, const core::instance_ref &target, core::monotonic_time now);
    void recordPartsProbe(std::span<const std::uint64_t> parts, const core::instance_ref &target,
                          core::monotonic_time now);
    /// A probe sent at `sentAt` was rejected by its target or left by its caller, so that it says nothing. Ignored if
    /// the probe has been reported.
    void withdrawProbes(const core::instance_ref &target, core::monotonic_time sentAt);

    void recordLostRun(const lost_run &run, core::monotonic_time now);
    /// Records that a target answered a request sent at `sentAt`. `target` holds the incarnation known at that time.
    void recordTargetAnswer(const core::instance_ref &target, core::monotonic_time sentAt, core::monotonic_time now);
    /// Records that a target has just ended.
    void recordTargetEnd(std::string_view id, core::monotonic_time now);
    /// Records that a run of a request ended with an answer, or that the answer to a part of prompts has begun.
    void recordAnswer(std::uint64_t fingerprint, core::monotonic_time now);

    /// Decides on lost runs whose targets haven't been heard from within the liveness timeout. `isAlive` returns
    /// whether a target still runs as the same incarnation, or nothing if that isn't known.
    void resolveOverdueRuns(core::monotonic_time now,
                            const std::function<std::optional<bool>(const core::instance_ref &)> &isAlive);

    /// Crashes confirmed since the last call.
    [[nodiscard]] std::vector<confirmed_crash> takeConfirmedCrashes();
    /// News for other processes since the last call. A single crash is held back for a while, and dropped if its
    /// request is answered in the meantime.
    [[nodiscard]] core::crash_news takeNews(core::monotonic_time now);
    /// All known crashes, for a process that has just connected.
    [[nodiscard]] core::crash_news snapshot(core::monotonic_time now) const;
    /// The same in batches. The detector must outlive them.
    [[nodiscard]] crash_batches batches() const;
    /// Merges news received from another process.
    merge_result merge(const core::crash_news &received, core::monotonic_time now);

    /// Number of fingerprints stored.
    [[nodiscard]] std::size_t size() const;

private:
    struct unresolved_run
    {
        lost_run run;
        core::monotonic_time lostAt{};
    };

    struct first_disconnect
    {
        std::uint64_t incarnation = 0;
        core::monotonic_time at{};
    };

    struct answer_time
    {
        std::uint64_t fingerprint = 0;
        core::monotonic_time at{};
    };

    struct unreported_crash
    {
        std::uint64_t fingerprint = 0;
        crash details;
        bool isPart = false;
    };

    /// Whether the target had already closed a run's connection before this run began, and hasn't answered since.
    /// Records this disconnect if it is the first one.
    bool startedAfterDisconnect(const lost_run &run, core::monotonic_time now);
    void confirm(const unresolved_run &unresolved, std::string_view evidence, core::monotonic_time now);
    void confirmFor(std::uint64_t fingerprint, bool isPart, const unresolved_run &unresolved, std::string_view evidence,
                    core::monotonic_time now);
    /// A refused request is only suspect if the parts of others explain its crashes.
    [[nodiscard]] suspect_status explained(suspect_status status, std::uint64_t fingerprint,
                                           std::span<const std::uint64_t> parts, core::monotonic_time now) const;
    [[nodiscard]] suspect_status statusWithoutExplanation(std::uint64_t fingerprint, core::monotonic_time now) const;
    /// Whether other suspects, which a request doesn't contain, explain the crashes of a part of its prompt.
    enum class part_explanation {
        none,
        /// They do, but the part has many crashes and was never answered: it is refused, and probed sooner.
        likely,
        /// They do, and the part isn't refused.
        excused,
    };
    [[nodiscard]] part_explanation explanationFor(std::uint64_t part, std::span<const std::uint64_t> parts,
                                                  core::monotonic_time now) const;
    [[nodiscard]] bool isPartRefused(std::uint64_t part, std::span<const std::uint64_t> parts,
                                     core::monotonic_time now) const;
    [[nodiscard]] bool mayProbe(std::uint64_t fingerprint, std::chrono::milliseconds firstDelay,
                                std::chrono::milliseconds jitterRange, core::monotonic_time now) const;
    void decrementUnresolved(const unresolved_run &unresolved);
    void rememberAnswer(const answer_time &answer);
    /// Stores the time of the answer that cleared a suspicion.
    void rememberAcquittal(std::uint64_t fingerprint, core::monotonic_time answeredAt);
    /// Time of the last remembered answer to a request.
    [[nodiscard]] std::optional<core::monotonic_time> lastAnswer(std::uint64_t fingerprint) const;
    /// Removes and returns the unresolved runs of a target that match.
    std::vector<unresolved_run> extractRuns(std::string_view target,
                                            const std::function<bool(const unresolved_run &)> &condition);
    /// Removes and returns the unresolved runs of all targets that match.
    std::vector<unresolved_run> extractAllRuns(const std::function<bool(const unresolved_run &)> &condition);

    suspect_limits m_limits;
    suspect_table m_table;
    /// By target.
    std::map<std::string, std::vector<unresolved_run>, std::less<>> m_unresolvedRuns;
    std::unordered_map<std::uint64_t, std::size_t> m_unresolvedPerRequest;
    std::size_t m_unresolvedCount = 0;
    /// Runs whose answers have not begun, by the parts of their prompts.
    std::unordered_map<std::uint64_t, std::uint32_t> m_unansweredRuns;
    /// When each target first closed a run's connection since its last answer. Runs that began later may never have
    /// reached it.
    std::map<std::string, first_disconnect, std::less<>> m_firstDisconnects;
    core::monotonic_time m_lastCrash{};
    std::uint64_t m_seed;
    /// End times of targets, kept while lost runs may still be reported there.
    std::map<std::string, core::monotonic_time, std::less<>> m_targetEnds;
    std::vector<confirmed_crash> m_confirmed;
    std::vector<unreported_crash> m_unreportedCrashes;
    /// Recently answered requests and the times of their last answers.
    std::unordered_map<std::uint64_t, core::monotonic_time> m_lastAnswers;
    /// The same answers, oldest first.
    std::deque<answer_time> m_answerOrder;
    /// When suspicions were cleared by an answer. Kept longer than m_lastAnswers because other processes may still hold
    /// the suspicion.
    std::unordered_map<std::uint64_t, core::monotonic_time> m_acquittals;
    std::vector<answer_time> m_unreportedAcquittals;
};

} // namespace medlarrack::suspects
