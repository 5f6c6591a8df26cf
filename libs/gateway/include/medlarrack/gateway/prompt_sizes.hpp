#pragma once

#include <medlarrack/core/clock.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace medlarrack::gateway {

/// Sizes of the prompts that this process has lately seen of one service, and from which size on a prompt is long
/// there: long prompts are at most a tenth of all, and several times the usual one. Not thread-safe.
class prompt_sizes
{
public:
    /// Counts a request. One without a token count is not counted.
    void record(std::uint32_t tokens, core::monotonic_time now);
    /// False while few requests have been seen.
    [[nodiscard]] bool isLong(std::uint32_t tokens) const;
    /// Part of all prompt tokens that belong to long prompts; 0 while few requests have been seen.
    [[nodiscard]] double longShare() const;

private:
    /// Two per power of two.
    static constexpr std::size_t bucketCount = 64;

    struct bucket
    {
        double requests = 0;
        double tokens = 0;
    };

    void decay(core::monotonic_time now);
    void findThreshold();

    /// Decayed sums by size.
    std::array<bucket, bucketCount> m_buckets{};
    core::monotonic_time m_decayedAt{};
    /// Smallest size of a long prompt; 0 if none is long.
    double m_threshold = 0;
    double m_longShare = 0;
};

} // namespace medlarrack::gateway
