#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstdint>

namespace medlarrack::agent {

/// The share of an engine's recent requests that failed, by what all gateways tell of them. Answers the pattern of many
/// gateways before an engine whose status is good while its answers fail: each sees one of its requests a second, all
/// together see twenty. Not thread-safe.
class failure_rate
{
public:
    void ended(std::uint32_t succeeded, std::uint32_t failed, core::monotonic_time now);
    /// The engine was started anew. What is known of it is forgotten, unless it was started shortly before too: one
    /// that goes down and up by turns fails again.
    void restarted(core::monotonic_time now);
    /// From 0 to 1; 0 while too few requests are known.
    [[nodiscard]] double share(core::monotonic_time now) const;

private:
    [[nodiscard]] double remaining(core::monotonic_time now) const;

    double m_succeeded = 0;
    double m_failed = 0;
    core::monotonic_time m_at{};
    core::monotonic_time m_restartedAt{std::chrono::hours(-1)};
};

} // namespace medlarrack::agent
