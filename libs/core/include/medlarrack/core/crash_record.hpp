#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace medlarrack::core {

/// A crash of a target during a run of a request, in a form that can be passed on: durations hold between processes,
/// monotonic times don't.
struct crash_record
{
    /// Hash of the request's content.
    std::uint64_t fingerprint = 0;
    /// Hash of the target's instance and incarnation.
    std::uint64_t target = 0;
    /// Time since the crash.
    std::chrono::milliseconds age{0};
    /// For how long the request had run.
    std::chrono::milliseconds ran{0};
    /// A refused request was run once more: counts as a crash until an answer is told.
    bool probe = false;
};

/// An answer to a request that was suspected of crashing targets.
struct acquittal
{
    std::uint64_t fingerprint = 0;
    /// Time since the answer.
    std::chrono::milliseconds age{0};
};

/// What a process tells others about requests that crash targets.
struct crash_news
{
    std::vector<crash_record> crashes;
    std::vector<acquittal> acquittals;

    [[nodiscard]] bool empty() const
    {
        return crashes.empty() && acquittals.empty();
    }
};

} // namespace medlarrack::core
