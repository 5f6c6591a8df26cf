#pragma once

#include <medlarrack/core/clock.hpp>
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
enum class standing {
    /// Nothing is known against it.
    clear,
    /// It ran on a target that crashed: it is tried once more, where no other suspect runs.
    suspect,
    /// It ran on as many crashed targets as are allowed: it isn't run again.
    refused,
};

/// A crash of a target, in a form that can be passed on: durations hold between processes, monotonic times don't.
struct crash_record
{
    /// Hash of the target's instance and incarnation.
    std::uint64_t target = 0;
    /// Time since the crash.
    std::chrono::milliseconds age{0};
};

/// What is known of one fingerprint, in a form that can be passed on to another process.
struct suspect_record
{
    /// Hash of operator, adapter and body.
    std::uint64_t fingerprint = 0;
    /// Crashes of targets during a run of the request.
    std::vector<crash_record> crashes;
};

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
};

/// Remembers which requests ran on targets when those crashed. Not thread-safe.
class suspect_table
{
public:
    explicit suspect_table(suspect_limits limits = {});

    /// How a request is to be treated now.
    [[nodiscard]] standing standingOf(std::uint64_t fingerprint, core::monotonic_time now) const;
    /// Number of targets that the request is known to have crashed and that isn't forgotten yet.
    [[nodiscard]] std::size_t crashes(std::uint64_t fingerprint, core::monotonic_time now) const;

    /// A target crashed while the request ran there. The same crash told twice counts once.
    void crashed(std::uint64_t fingerprint, const core::instance_ref &target, core::monotonic_time now);
    /// A run of the request ended with an answer: the suspicion was wrong and is dropped, unless it is refused already.
    void answered(std::uint64_t fingerprint, core::monotonic_time now);

    /// What is known now, for passing on.
    [[nodiscard]] std::vector<suspect_record> records(core::monotonic_time now) const;
    /// Adds what another process knows; crashes known already count once.
    void merge(std::span<const suspect_record> others, core::monotonic_time now);

    /// Fingerprints kept.
    [[nodiscard]] std::size_t size() const;

private:
    struct crash
    {
        std::uint64_t target = 0;
        core::monotonic_time at{};
    };

    struct entry
    {
        std::vector<crash> crashes;
        core::monotonic_time lastCrash{};
    };

    [[nodiscard]] const entry *find(std::uint64_t fingerprint, core::monotonic_time now) const;
    entry &findOrAdd(std::uint64_t fingerprint, core::monotonic_time now);
    void addCrash(entry &to, crash added) const;
    [[nodiscard]] bool isSame(const crash &first, const crash &second) const;

    suspect_limits m_limits;
    std::unordered_map<std::uint64_t, entry> m_entries;
    /// Fingerprints in the order in which they were added; may name some that are gone.
    std::deque<std::uint64_t> m_order;
};

} // namespace medlarrack::suspects
