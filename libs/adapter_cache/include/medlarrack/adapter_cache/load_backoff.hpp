#pragma once

#include <medlarrack/core/adapter_ref.hpp>
#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace medlarrack::adapter_cache {

/// Waiting times after failed loads, per adapter: doubled at each failure, with jitter that depends on the adapter and
/// the seed so that engines don't try again together. Not thread-safe.
class load_backoff
{
public:
    load_backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest, std::uint64_t seed);

    /// Counts a failure; returns when the adapter may be tried again.
    core::monotonic_time failed(const core::adapter_ref &adapter, core::monotonic_time now);
    void succeeded(const core::adapter_ref &adapter);
    /// When the adapter may be tried again; nothing when it may be now.
    [[nodiscard]] std::optional<core::monotonic_time> until(const core::adapter_ref &adapter,
                                                            core::monotonic_time now) const;
    /// Forgets all failures.
    void clear();

private:
    struct entry
    {
        std::uint32_t failures = 0;
        core::monotonic_time until{};
    };

    void makeRoom(core::monotonic_time now);

    std::chrono::milliseconds m_first;
    std::chrono::milliseconds m_longest;
    std::uint64_t m_seed;
    std::map<core::adapter_ref, entry> m_entries;
};

} // namespace medlarrack::adapter_cache
