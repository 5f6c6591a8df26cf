#pragma once

#include <medlarrack/routing/target_table.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace medlarrack::routing::detail {

/// Groups up to this size are looked at whole.
inline constexpr std::size_t wholeGroup = 16;
/// Targets drawn from a larger group.
inline constexpr std::size_t drawn = 8;

/// Draws candidates of a group without allocating.
class sampler
{
public:
    explicit sampler(std::uint64_t seed);

    /// All candidates of a small group in turning order, or a few drawn at random from a large one. The span is valid
    /// until the next call.
    [[nodiscard]] std::span<const target_index> draw(std::span<const target_index> candidates);
    /// As draw(), but equal keys draw the same from the same candidates.
    [[nodiscard]] std::span<const target_index> drawByKey(std::span<const target_index> candidates, std::uint64_t key);
    /// The next pseudo-random number.
    [[nodiscard]] std::uint64_t next();

private:
    std::uint64_t m_state;
    std::array<target_index, wholeGroup> m_drawn{};
};

/// A step of the SplitMix64 generator.
[[nodiscard]] std::uint64_t splitMix(std::uint64_t &state);

/// Whether a target was tried already.
[[nodiscard]] bool isExcluded(const routing_request &request, target_index index);

/// Whether the first target is to be preferred: less load, then nearer.
[[nodiscard]] bool isBetter(const target_table &targets, target_index first, target_index second);

} // namespace medlarrack::routing::detail
