#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/crash_record.hpp>
#include <medlarrack/core/instance_ref.hpp>
#include <medlarrack/suspects/suspect_table.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlarrack::suspects {

/// A run that ended without an answer.
struct lost_run
{
    std::uint64_t fingerprint = 0;
    core::instance_ref target;
    core::monotonic_time startedAt{};
    /// The target ended the connection. Otherwise it was silent, or nobody waited any longer.
    bool disconnected = false;
};

/// A crash that is believed now.
struct confirmed_crash
{
    std::uint64_t fingerprint = 0;
    std::string target;
    std::chrono::nanoseconds runTime{0};
    /// What shows it.
    std::string_view evidence;
    /// Crashes of the request that are known with this one.
    std::size_t crashCount = 0;
};

/// What becomes of another process's words.
struct merge_result
{
    /// What of it was new.
    core::crash_news added;
    /// Answers since to what it takes for crashes: it hasn't heard of them.
    std::vector<core::acquittal> missedAcquittals;
};

/// Decides which lost runs ended because their target crashed, and what to tell other processes of that. A run is lost
/// in many ways; it speaks against its request only if the target has gone. Answers the pattern of one request that
/// crashes each target that runs it and whose caller comes again anywhere, beside many that were merely there; also of
/// one content that many callers send, which runs on each target that crashes and is answered all the while. Not
/// thread-safe.
class crash_detector
{
public:
    /// Processes with different seeds probe at different times.
    explicit crash_detector(suspect_limits limits = sharedLimits, std::uint64_t seed = 0);

    /// How a request is to be treated now. Lost runs of which nothing more is known yet count as crashes.
    [[nodiscard]] suspect_status statusOf(std::uint64_t fingerprint, core::monotonic_time now) const;

    /// Whether a refused request is to be run all the same, as a probe: once the fleet is calm, and then rarely, so
    /// that one that was merely there when others crashed their targets comes back by its answer.
    [[nodiscard]] bool mayProbe(std::uint64_t fingerprint, core::monotonic_time now) const;
    /// A refused request is sent to a target as a probe: it counts as a crash, and is told so, until it is answered.
    void recordProbe(std::uint64_t fingerprint, const core::instance_ref &target, core::monotonic_time now);

    void recordLostRun(const lost_run &run, core::monotonic_time now);
    /// A target answered something that was sent to it at a time, as the incarnation that was known then.
    void recordTargetAnswer(const core::instance_ref &target, core::monotonic_time sentAt, core::monotonic_time now);
    /// A target is known to have ended about now.
    void recordTargetEnd(std::string_view id, core::monotonic_time now);
    /// A run of a request ended with an answer.
    void recordAnswer(std::uint64_t fingerprint, core::monotonic_time now);

    /// Judges lost runs of which nothing was heard for the time in which a living target shows itself. `lives` says
    /// whether a target is known to run as the same incarnation; nothing if it isn't known.
    void resolveOverdueRuns(core::monotonic_time now,
                            const std::function<std::optional<bool>(const core::instance_ref &)> &isAlive);

    /// Crashes believed since the last call.
    [[nodiscard]] std::vector<confirmed_crash> takeConfirmedCrashes();
    /// What others are to be told since the last call.
    [[nodiscard]] core::crash_news takeNews(core::monotonic_time now);
    /// All that is known, for a process that has just been met.
    [[nodiscard]] core::crash_news snapshot(core::monotonic_time now) const;
    /// Takes what another process told.
    merge_result merge(const core::crash_news &told, core::monotonic_time now);

    /// Fingerprints kept.
    [[nodiscard]] std::size_t size() const;

private:
    struct open_run
    {
        lost_run run;
        core::monotonic_time lostAt{};
    };

    struct first_loss
    {
        std::uint64_t incarnation = 0;
        core::monotonic_time at{};
    };

    struct answer
    {
        std::uint64_t fingerprint = 0;
        core::monotonic_time at{};
    };

    struct untold_crash
    {
        std::uint64_t fingerprint = 0;
        crash what;
    };

    /// Whether the target had ended a run's connection before this run began, and not answered since. Notes the loss.
    bool isAfterFirstLoss(const lost_run &run, core::monotonic_time now);
    void believe(const open_run &run, std::string_view evidence, core::monotonic_time now);
    void close(const open_run &run);
    void remember(const answer &given);
    /// A suspicion ended by an answer at a time.
    void cleared(std::uint64_t fingerprint, core::monotonic_time answeredAt);
    /// When a request last had an answer, as far as remembered.
    [[nodiscard]] std::optional<core::monotonic_time> lastAnswer(std::uint64_t fingerprint) const;
    /// Removes the open runs of a target that a condition holds for, and hands them over.
    std::vector<open_run> take(std::string_view target, const std::function<bool(const open_run &)> &condition);
    /// The same of all targets.
    std::vector<open_run> takeAnywhere(const std::function<bool(const open_run &)> &condition);

    suspect_limits m_limits;
    suspect_table m_table;
    /// By target.
    std::map<std::string, std::vector<open_run>, std::less<>> m_open;
    std::unordered_map<std::uint64_t, std::size_t> m_openRuns;
    std::size_t m_openCount = 0;
    /// When a target first ended a run's connection since it last answered: what is lost there later may not have
    /// reached it.
    std::map<std::string, first_loss, std::less<>> m_firstLoss;
    core::monotonic_time m_lastCrash{};
    std::uint64_t m_seed;
    /// When targets were known to have ended, as long as runs there may yet be found lost.
    std::map<std::string, core::monotonic_time, std::less<>> m_ended;
    std::vector<confirmed_crash> m_believed;
    std::vector<untold_crash> m_untold;
    /// Requests answered lately, by when; and the same in the order of the answers.
    std::unordered_map<std::uint64_t, core::monotonic_time> m_answered;
    std::deque<answer> m_answers;
    /// When suspicions were ended by an answer; kept for as long as somebody may still hold the suspicion.
    std::unordered_map<std::uint64_t, core::monotonic_time> m_cleared;
    std::vector<answer> m_acquitted;
};

} // namespace medlarrack::suspects
