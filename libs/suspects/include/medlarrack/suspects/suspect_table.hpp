#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/crash_record.hpp>
#include <medlarrack/core/instance_ref.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace medlarrack::suspects {

/// How a request that may have crashed targets is to be treated.
enum class suspect_status {
    /// Nothing is known against it.
    clear,
    /// It ran on a target that crashed: it is tried once more, where no other suspect runs.
    suspect,
    /// It ran on as many crashed targets as are allowed: it isn't run again.
    refused,
};

/// A crash of a target during a run of a request.
struct crash
{
    /// Hash of the target's instance and incarnation.
    std::uint64_t target = 0;
    core::monotonic_time at{};
    /// For how long the request had run.
    std::chrono::nanoseconds runTime{0};
    /// A run of a refused request that has no answer yet.
    bool probe = false;
};

/// Hash of a target's instance and incarnation.
[[nodiscard]] std::uint64_t targetHash(const core::instance_ref &target);

/// Bounds of a suspect table.
struct suspect_limits
{
    /// Crashes after which a fingerprint is refused.
    std::size_t crashesToRefuse = 2;
    /// Time after its last crash at which a fingerprint is forgotten.
    std::chrono::milliseconds fadeAfter{600'000};
    /// Fingerprints kept; the one whose crash was recorded longest ago makes room.
    std::size_t maxFingerprints = 4096;
    /// Crashes of one target closer to each other than this are one crash, told by several.
    std::chrono::milliseconds sameCrash{3'000};
    /// A run that began this much before another crash may be one that followed it: clocks of processes differ by the
    /// way of a message.
    std::chrono::milliseconds overlap{50};
};

/// Limits of processes that share what they know. Two lost runs of one request also come by chance while replicas go
/// down and up by turns, and a command that is refused wrongly is refused everywhere.
inline constexpr suspect_limits sharedLimits{.crashesToRefuse = 3};

/// Remembers which requests ran on targets when those crashed. Only runs that began after the crash before count:
/// copies of one request that run everywhere when many targets go at once speak against none of them. Not thread-safe.
class suspect_table
{
public:
    explicit suspect_table(suspect_limits limits = {});

    /// How a request is to be treated now.
    [[nodiscard]] suspect_status statusOf(std::uint64_t fingerprint, core::monotonic_time now) const;
    /// Number of targets that the request is known to have crashed and that isn't forgotten yet.
    [[nodiscard]] std::size_t crashCount(std::uint64_t fingerprint, core::monotonic_time now) const;
    /// The same if these, which aren't certain, were crashes too.
    [[nodiscard]] std::size_t crashCountWith(std::uint64_t fingerprint, std::span<const crash> possible,
                                             core::monotonic_time now) const;

    /// The crashes of a request that are kept: as many as suffice for a refusal, the last ones.
    [[nodiscard]] std::span<const crash> crashesOf(std::uint64_t fingerprint, core::monotonic_time now) const;
    /// A refused request is run once more at a target.
    void recordProbe(std::uint64_t fingerprint, const core::instance_ref &target, core::monotonic_time now);
    /// A target crashed while the request ran there. The same crash told twice counts once. Says whether it counts.
    bool recordCrash(std::uint64_t fingerprint, const core::instance_ref &target, core::monotonic_time now,
                     std::chrono::nanoseconds runTime = {});
    /// A run of the request ended with an answer: the suspicion was wrong and is dropped, unless it is refused already.
    /// Says whether there was one.
    bool recordAnswer(std::uint64_t fingerprint, core::monotonic_time now);

    /// A run of the request ended with an answer at a time: crashes up to then don't speak against it, also if it is
    /// refused by now. Says whether there were any.
    bool acquit(std::uint64_t fingerprint, core::monotonic_time answeredAt, core::monotonic_time now);

    /// What is known now, for passing on.
    [[nodiscard]] std::vector<core::crash_record> records(core::monotonic_time now) const;
    /// Adds what another process knows, and returns what of that was new; crashes known already count once.
    core::crash_news merge(const core::crash_news &told, core::monotonic_time now);

    /// Fingerprints kept.
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
    [[nodiscard]] bool isSame(const crash &first, const crash &second) const;
    [[nodiscard]] std::size_t inSequence(std::vector<crash> crashes) const;
    void drop(std::uint64_t fingerprint);

    suspect_limits m_limits;
    std::unordered_map<std::uint64_t, entry> m_entries;
    /// Fingerprints in the order in which they were added; may name some that are gone.
    std::deque<std::uint64_t> m_order;
};

} // namespace medlarrack::suspects
