#include <medlarrack/gateway/prefill_estimate.hpp>

#include <algorithm>

namespace medlarrack::gateway {

namespace {

/// Rate assumed before the first sample. The engines of both deployments prefill 30 to 38 tokens per ms.
constexpr double assumedTokensPerMs = 38;
/// Bounds of a sample and so of the learned rate: a prompt in the engine's cache takes hardly any time, and one behind
/// requests that haven't been reported yet takes much longer than its tokens.
constexpr double minTokensPerMs = assumedTokensPerMs / 4;
constexpr double maxTokensPerMs = assumedTokensPerMs * 4;
/// Tokens that the assumed rate counts for; a handful of long prompts outweigh it.
constexpr double assumedWeight = 20'000;
/// Samples of fewer tokens mostly consist of step times and transit.
constexpr double minSampleTokens = 4'000;
/// Weight that older samples keep with each further one.
constexpr double sampleRetention = 0.95;
/// Part of the pending tokens that counts as left to prefill at least, as an engine may be slower than before.
constexpr double minRemainingPart = 0.125;

double inMs(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

void prefill_estimate::recordPending(std::uint64_t tokens, core::monotonic_time now)
{
    m_remaining = remainingTokens(tokens, now);
    m_pending = tokens;
    m_recordedAt = now;
}

void prefill_estimate::recordFirstEvent(double tokens, std::chrono::nanoseconds time)
{
    if (tokens < minSampleTokens) {
        return;
    }
    const double ms = std::clamp(inMs(time), tokens / maxTokensPerMs, tokens / minTokensPerMs);
    m_sampledTokens = m_sampledTokens * sampleRetention + tokens;
    m_sampledMs = m_sampledMs * sampleRetention + ms;
}

double prefill_estimate::remainingTokens(std::uint64_t pending, core::monotonic_time now) const
{
    const double prefilled = inMs(now - m_recordedAt) * tokensPerMs();
    const double added = pending > m_pending ? static_cast<double>(pending - m_pending) : 0;
    const auto most = static_cast<double>(pending);
    return std::clamp(std::max(0.0, m_remaining - prefilled) + added, most * minRemainingPart, most);
}

std::chrono::nanoseconds prefill_estimate::remainingTime(std::uint64_t pending, core::monotonic_time now) const
{
    return timeFor(remainingTokens(pending, now));
}

std::chrono::nanoseconds prefill_estimate::timeFor(double tokens) const
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double, std::milli>(tokens / tokensPerMs()));
}

double prefill_estimate::tokensPerMs() const
{
    return (m_sampledTokens + assumedWeight) / (m_sampledMs + assumedWeight / assumedTokensPerMs);
}

} // namespace medlarrack::gateway
