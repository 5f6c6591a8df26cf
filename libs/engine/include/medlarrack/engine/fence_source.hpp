#pragma once

#include <medlarrack/core/clock.hpp>

#include <atomic>
#include <cstdint>

namespace medlarrack::engine {

/// Fencing numbers for the orders of one sidecar. The wall-clock milliseconds of its start are the high bits and a
/// counter the low ones, so that a restarted sidecar's numbers are above its predecessor's without a disk, as long as
/// the wall clock does not step back across the restart and a process gives fewer than 4,096 orders a millisecond.
/// Numbers stay below 2^53, exact in every JSON reader. Thread-safe.
class fence_source
{
public:
    explicit fence_source(core::wall_time start);

    /// The next number; each is larger than the one before.
    [[nodiscard]] std::uint64_t next();
    /// Whether no number has been taken since this one.
    [[nodiscard]] bool isNewest(std::uint64_t fence) const;
    /// A target answered that a newer process gives orders: this one must not give any more.
    void supersede();
    [[nodiscard]] bool superseded() const;

private:
    std::atomic<std::uint64_t> m_last;
    std::atomic<bool> m_superseded{false};
};

} // namespace medlarrack::engine
