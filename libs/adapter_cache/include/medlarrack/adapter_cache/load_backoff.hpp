#pragma once

#include <medlarrack/core/adapter_ref.hpp>
#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace medlarrack::adapter_cache {

/// Exponential backoff after failed loads, per adapter. The jitter depends on the adapter and the seed, so that engines
/// don't retry at the same time. Not thread-safe.
class load_backoff
{
public:
    load_backoff(std::chrono::milliseconds initial, std::chrono::milliseconds maximum, std::uint64_t seed);

    /// Records a failed load and returns the time from which on it may be retried.
    core::monotonic_time recordFailure(const core::adapter_ref &adapter, core::monotonic_time now);
    void recordSuccess(const core::adapter_ref &adapter);
    /// Time from which on a load of the adapter may be retried; nothing if it may be loaded now.
    [[nodiscard]] std::optional<core::monotonic_time> retryTime(const core::adapter_ref &adapter,
                                                                core::monotonic_time now) const;
    /// Discards all recorded failures.
    void clear();

private:
    struct entry
    {
        std::uint32_t failures = 0;
        core::monotonic_time retryTime{};
    };

    void makeRoom(core::monotonic_time now);

    std::chrono::milliseconds m_initial;
    std::chrono::milliseconds m_maximum;
    std::uint64_t m_seed;
    std::map<core::adapter_ref, entry> m_entries;
};

} // namespace medlarrack::adapter_cache
