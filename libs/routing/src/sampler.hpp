#pragma once

#include <medlarrack/routing/target_table.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace medlarrack::routing::detail {

/// Groups up to this size are examined completely instead of sampled.
inline constexpr std::size_t maxFullScanSize = 16;
/// Number of targets sampled from a larger group.
inline constexpr std::size_t sampleSize = 8;

/// Samples the candidates of a group without allocating.
class sampler
{
public:
    explicit sampler(std::uint64_t seed);

    /// Returns all candidates of a small group, rotated by a random offset, or a random sample of a large one, in which
    /// a target may occur more than once. The span is valid until the next call.
    [[nodiscard]] std::span<const target_index> sample(std::span<const target_index> candidates);
    /// Like sample(), but deterministic: equal keys give the same sample of the same candidates.
    [[nodiscard]] std::span<const target_index> sampleByKey(std::span<const target_index> candidates,
                                                            std::uint64_t key);
    [[nodiscard]] std::uint64_t next();

private:
    std::uint64_t m_state;
    std::array<target_index, maxFullScanSize> m_sample{};
};

/// Advances a SplitMix64 generator and returns its output.
[[nodiscard]] std::uint64_t splitMix(std::uint64_t &state);

[[nodiscard]] bool isExcluded(const routing_request &request, target_index index);

/// Whether the first target is preferable to the second: by lower load, then by being in the local data centre.
[[nodiscard]] bool isPreferred(const target_table &targets, target_index first, target_index second);

} // namespace medlarrack::routing::detail
