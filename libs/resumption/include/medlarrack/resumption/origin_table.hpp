#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/resumption/stream_origin.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>

namespace medlarrack::resumption {

/// Bounds of an origin_table.
struct origin_limits
{
    /// Streams remembered at most; half as many are certain to be remembered for the lifetime.
    std::size_t maxStreams = 65'536;
    /// Streams are remembered at least this long, and at most twice as long, after they were last added.
    std::chrono::nanoseconds lifetime = std::chrono::minutes(2);
};

/// Remembers the origins of streams that may be resumed. Bounded in memory and time. Not thread-safe.
class origin_table
{
public:
    explicit origin_table(const origin_limits &limits = {});

    /// Remembers a stream, or remembers it longer. The origin that was added first is kept, except
    /// that a certain one replaces the uncertain one.
    void add(stream_key stream, stream_origin origin, core::monotonic_time now);
    [[nodiscard]] std::optional<stream_origin> find(stream_key stream, core::monotonic_time now) const;
    [[nodiscard]] std::size_t size() const;

private:
    using generation = std::unordered_map<stream_key, stream_origin>;

    /// Forgets the older half when it has expired or the newer half is full.
    void rotateIfDue(core::monotonic_time now);

    origin_limits m_limits;
    generation m_newer;
    generation m_older;
    core::monotonic_time m_newerSince{};
};

} // namespace medlarrack::resumption
