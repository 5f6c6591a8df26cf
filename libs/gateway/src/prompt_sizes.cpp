#include <medlarrack/gateway/prompt_sizes.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace medlarrack::gateway {

namespace {

/// Time constant of the exponential decay: a gateway of 68 sees a long prompt every 5 s.
constexpr std::chrono::duration<double> decayTime{30};
/// Time between two computations of the threshold.
constexpr std::chrono::milliseconds updateInterval{200};
/// Decayed count of requests from which the sizes are known well enough.
constexpr double minRequests = 100;
/// Largest part of the requests that counts as long.
constexpr double maxLongPart = 0.1;
/// Least size of a long prompt in multiples of the median. Smaller ones delay others no more than a few usual ones do.
constexpr double minMedians = 4;

double lowerBound(std::size_t index)
{
    return std::exp2(static_cast<double>(index) / 2);
}

} // namespace

void prompt_sizes::record(std::uint32_t tokens, core::monotonic_time now)
{
    if (tokens == 0) {
        return;
    }
    const auto index = static_cast<std::size_t>(2 * std::log2(static_cast<double>(tokens)));
    bucket &counted = m_buckets[std::min(index, bucketCount - 1)];
    counted.requests += 1;
    counted.tokens += tokens;
    if (now - m_decayedAt >= updateInterval) {
        decay(now);
        findThreshold();
    }
}

bool prompt_sizes::isLong(std::uint32_t tokens) const
{
    return m_threshold > 0 && tokens >= m_threshold;
}

double prompt_sizes::longShare() const
{
    return m_longShare;
}

void prompt_sizes::decay(core::monotonic_time now)
{
    const double kept = std::exp(-std::chrono::duration<double>(now - m_decayedAt) / decayTime);
    m_decayedAt = now;
    for (bucket &each : m_buckets) {
        each.requests *= kept;
        each.tokens *= kept;
    }
}

void prompt_sizes::findThreshold()
{
    m_threshold = 0;
    m_longShare = 0;
    bucket all;
    for (const bucket &each : m_buckets) {
        all.requests += each.requests;
        all.tokens += each.tokens;
    }
    if (all.requests < minRequests) {
        return;
    }
    std::size_t median = 0;
    for (double below = m_buckets[0].requests; below < all.requests / 2; below += m_buckets[median].requests) {
        ++median;
    }
    bucket larger;
    for (std::size_t index = bucketCount; index-- > 0;) {
        const bucket &each = m_buckets[index];
        if (larger.requests + each.requests > maxLongPart * all.requests
            || lowerBound(index) < minMedians * lowerBound(median)) {
            break;
        }
        larger.requests += each.requests;
        larger.tokens += each.tokens;
        m_threshold = lowerBound(index);
    }
    m_longShare = larger.tokens / all.tokens;
}

} // namespace medlarrack::gateway
