#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace medlarrack::http1 {

/// How long an answer may take. Its length isn't limited here.
struct answer_limits
{
    /// From the request to the first byte of the body.
    std::chrono::milliseconds firstByte{0};
    /// Between two bytes.
    std::chrono::milliseconds silence{0};
    /// Bytes a second, on average, that an answer must bring after the time for its first byte.
    std::uint32_t minBytesPerSecond = 1;

    /// For answers whose length is known to be small.
    static answer_limits wholeWithin(std::chrono::milliseconds time)
    {
        return {time, time, std::numeric_limits<std::uint32_t>::max()};
    }
};

/// The time until which an answer is waited for: as long as it keeps coming, and not too slowly.
class answer_pace
{
public:
    answer_pace(const answer_limits &limits, std::chrono::steady_clock::time_point requestedAt);

    void onBytes(std::size_t count, std::chrono::steady_clock::time_point now);
    [[nodiscard]] std::chrono::steady_clock::time_point deadline() const;
    [[nodiscard]] std::chrono::steady_clock::time_point requestedAt() const;
    /// Time from the first byte to the last one so far.
    [[nodiscard]] std::chrono::nanoseconds transferTime() const;

private:
    answer_limits m_limits;
    std::chrono::steady_clock::time_point m_requestedAt;
    std::chrono::steady_clock::time_point m_firstByteAt;
    std::chrono::steady_clock::time_point m_lastByteAt;
    std::uint64_t m_bytes = 0;
};

} // namespace medlarrack::http1
