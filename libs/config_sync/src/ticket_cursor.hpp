#pragma once

#include <medlarrack/config_sync/update_planner.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace medlarrack::config_sync::detail {

/// Chooses the number after which tickets are requested: normally the contiguous position. When a complete answer
/// leaves a gap open, the newest known number is used for the gap retry time, so that a gap that no source can fill
/// doesn't make every request fetch all tickets after it again.
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

    /// Handles a complete answer, already applied, to a request for the tickets after a number.
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
