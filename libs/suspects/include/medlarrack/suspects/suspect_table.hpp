#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/crash_record.hpp>
#include <medlarrack/core/instance_ref.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

namespace medlarrack::suspects {

/// How a request that may have crashed targets, or that contains what may have, is treated.
enum class suspect_status {
    /// No known crash counts against it.
    clear,
    /// It ran on a target that crashed. It may run again on a target where no other suspect runs.
    suspect,
    /// It ran on crashesToRefuse crashed targets and isn't run again, except as a probe.
    refused,
};

/// A crash of a target during a run of a request.
struct crash
{
    /// Hash of the target's instance and incarnation.
    std::uint64_t target = 0;
    core::monotonic_time at{};
    /// How long the request had been running.
    std::chrono::nanoseconds runTime{0};
    /// A probe, that is a run of a refused request, which has no answer yet.
    bool probe = false;
};

/// Hash of a target's instance and incarnation.
[[nodiscard]] std::uint64_t targetHash(const core::instance_ref &target);

/// Limits of a suspect table.
struct suspect_limits
{
    /// Number of crashes from which on a fingerprint is refused.
    std::size_t crashesToRefuse = 2;
    /// A fingerprint expires this long after its last crash.
    std::chrono::milliseconds fadeAfter{600'000};
    /// Limit of stored fingerprints. Of those that aren't refused, the one that was added first is evicted.
    std::size_t maxFingerprints = 4096;
    /// Limit of stored crashes of one fingerprint; those that don't count are dropped first, then the oldest.
    std::size_t maxCrashes = 32;
    /// Crashes of one target that are closer together than this are one crash reported by several processes.
    std::chrono::milliseconds duplicateWindow{3'000};
    /// A run that began up to this long before another crash may have followed it: crash times from other processes are
    /// off by the transit time of the message.
    std::chrono::milliseconds clockTolerance{50};
};

/// Limits for processes that exchange crash news. While replicas repeatedly stop and restart, a request can lose two
/// runs by coincidence, and a wrong refusal applies at every process.
inline constexpr suspect_limits sharedLimits{.crashesToRefuse = 3};

/// Counts, for each fingerprint, the target crashes that happened while it ran there. A fingerprint stands for a whole
/// request, or for a part of a prompt that many requests have. A crash only counts if its run began after the previous
/// counted crash, so copies that run on many targets which crash at once count as one. Not thread-safe.
class suspect_table
{
public:
    explicit suspect_table(suspect_limits limits = {});

    /// Current status of a request.
    [[nodiscard]] suspect_status statusOf(std::uint64_t fingerprint, core::monotonic_time now) const;
    /// Number of known crashes of the request that haven't expired.
    [[nodiscard]] std::size_t crashCount(std::uint64_t fingerprint, core::monotonic_time now) const;
    /// The same with additional crashes that aren't confirmed.
    [[nodiscard]] std::size_t crashCountWith(std::uint64_t fingerprint, std::span<const crash> possible,
                                             core::monotonic_time now) const;

    /// Stored crashes of a request, including those that don't count.
    [[nodiscard]] std::span<const crash> crashesOf(std::uint64_t fingerprint, core::monotonic_time now) const;
    /// Records that a refused request is run once more, as a probe, on a target.
    void recordProbe(std::uint64_t fingerprint, const core::instance_ref &target, core::monotonic_time now);
    /// Takes back a probe that was not run.
    void withdrawProbe(std::uint64_t fingerprint, const crash &probe);
    /// Crashes of a fingerprint that no other refused fingerprint shares. `mayExplain` selects those that are
    /// considered.
    [[nodiscard]] std::vector<crash>
    unexplainedCrashes(std::uint64_t fingerprint,
                       const std::function<bool(std::uint64_t other, std::size_t crashCount)> &mayExplain,
                       core::monotonic_time now) const;
    /// Number of crashes whose runs began after the previous counted crash.
    [[nodiscard]] std::size_t countSequential(std::vector<crash> crashes) const;
    /// Records that a target crashed while the request ran there. Returns false if the crash was known already.
    bool recordCrash(std::uint64_t fingerprint, const core::instance_ref &target, core::monotonic_time now,
                     std::chrono::nanoseconds runTime = {});
    /// Records that a run of the request ended with an answer, which clears a suspect but not a refused request.
    /// Returns whether crashes were dropped.
    bool recordAnswer(std::uint64_t fingerprint, core::monotonic_time now);

    /// Drops the crashes up to the time of an answer, also if the request is refused by now. Returns whether there were
    /// any.
    bool acquit(std::uint64_t fingerprint, core::monotonic_time answeredAt, core::monotonic_time now);

    /// Fingerprints in the order in which they were added.
    [[nodiscard]] std::vector<std::uint64_t> fingerprints() const;
    /// Crashes of one fingerprint that haven't expired, in the form for other processes.
    [[nodiscard]] std::vector<core::crash_record> recordsOf(std::uint64_t fingerprint, core::monotonic_time now) const;
    /// The same of all fingerprints.
    [[nodiscard]] std::vector<core::crash_record> records(core::monotonic_time now) const;
    /// Merges news from another process and returns the part that was new. Crashes that are already known count once.
    core::crash_news merge(const core::crash_news &received, core::monotonic_time now);

    /// Number of fingerprints stored.
    [[nodiscard]] std::size_t size() const;

private:
    struct entry
    {
        std::vector<crash> crashes;
        core::monotonic_time lastCrash{};
    };

    [[nodiscard]] const entry *find(std::uint64_t fingerprint, core::monotonic_time now) const;
    entry &findOrAdd(std::uint64_t fingerprint, core::monotonic_time now);
    bool add(std::uint64_t fingerprint, const crash &added, core::monotonic_time now);
    [[nodiscard]] bool isDuplicate(const crash &first, const crash &second) const;
    /// Sorts the crashes by time and moves those whose runs began after the previous counted crash to the front.
    /// Returns their number.
    std::size_t partitionSequential(std::vector<crash> &crashes) const;
    /// Drops one fingerprint.
    void evict(core::monotonic_time now);
    void erase(std::uint64_t fingerprint);

    suspect_limits m_limits;
    std::unordered_map<std::uint64_t, entry> m_entries;
    /// Fingerprints in the order in which they were added. May contain fingerprints that are no longer stored.
    std::deque<std::uint64_t> m_order;
};

} // namespace medlarrack::suspects
