#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlarrack::standins {

/// A change of the cache.
struct cache_event
{
    long long sequence = 0;
    bool stored = false;
    std::uint64_t prefix = 0;
    core::monotonic_time at{};
};

/// Prompt prefixes in blocks of fixed size, least recently used evicted first. The prefix of block i is
/// hash64(block, prefix of block i - 1), beginning with hash64(model); only whole blocks count.
class prefix_cache
{
public:
    static constexpr std::size_t blockBytes = 64;

    explicit prefix_cache(std::size_t maxBlocks);

    /// Stores the prompt's blocks; returns how many weren't there.
    std::size_t admit(std::string_view model, std::string_view prompt, core::monotonic_time now);
    /// From now on every n-th event is lost; 0 for none.
    void setDropEvery(int n);
    /// Events above a sequence number that are at least as old as the lag.
    [[nodiscard]] std::vector<cache_event> events(long long after, std::chrono::milliseconds lag,
                                                  core::monotonic_time now) const;
    /// Sequence of the newest event at least as old as the lag.
    [[nodiscard]] long long newest(std::chrono::milliseconds lag, core::monotonic_time now) const;

private:
    void note(bool stored, std::uint64_t prefix, core::monotonic_time now);
    void evictOldest(core::monotonic_time now);

    std::size_t m_maxBlocks;
    int m_dropEvery = 0;
    long long m_sequence = 0;
    std::list<std::uint64_t> m_byUse;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::deque<cache_event> m_events;
};

} // namespace medlarrack::standins
