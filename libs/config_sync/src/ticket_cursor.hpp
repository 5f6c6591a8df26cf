#pragma once

#include <medlarrack/config_sync/update_planner.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace medlarrack::config_sync::detail {

/// Chooses the number after which tickets are asked for: the last one without a gap below it. When the answers keep
/// skipping a number, the newest one known serves for a while, so that a gap that nobody can fill doesn't make every
/// question fetch everything after it.
class ticket_cursor
{
public:
    explicit ticket_cursor(std::chrono::milliseconds gapRetry)
        : m_gapRetry(gapRetry)
    {
    }

    [[nodiscard]] std::uint64_t after(const ticket_position &position, core::monotonic_time now) const
    {
        return now < m_skipGapUntil ? std::max(position.contiguous, position.newest) : position.contiguous;
    }

    /// A whole answer to a question after a number has been applied.
    void onAnswer(std::uint64_t after, const ticket_position &position, core::monotonic_time now)
    {
        const bool stillGap = position.contiguous < position.newest;
        if (!stillGap) {
            m_skipGapUntil = core::monotonic_time{};
        } else if (after == position.contiguous) {
            m_skipGapUntil = now + m_gapRetry;
        }
    }

private:
    std::chrono::milliseconds m_gapRetry;
    core::monotonic_time m_skipGapUntil{};
};

} // namespace medlarrack::config_sync::detail
