#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstdint>

namespace medlarrack::gateway {

/// How long one engine takes to prefill what it has been sent, as learned from its answers. Prompts are prefilled one
/// after the other. The pending tokens that processes report include those of a prompt that is partly prefilled, since
/// they are subtracted at its first event; the estimate subtracts what the engine has prefilled since they were added.
/// Not thread-safe.
class prefill_estimate
{
public:
    /// Records the pending prompt tokens of all processes whenever the number changes.
    void recordPending(std::uint64_t tokens, core::monotonic_time now);
    /// Records that an answer's first event came after the given time. The engine had this many tokens to prefill when
    /// the request was sent, those of its prompt included. Answers after few tokens say little and are ignored.
    void recordFirstEvent(double tokens, std::chrono::nanoseconds time);

    /// Prompt tokens left to prefill, of the given number of pending ones.
    [[nodiscard]] double remainingTokens(std::uint64_t pending, core::monotonic_time now) const;
    /// Time until the engine has prefilled them.
    [[nodiscard]] std::chrono::nanoseconds remainingTime(std::uint64_t pending, core::monotonic_time now) const;
    /// Time that the engine takes for a prompt of this many tokens.
    [[nodiscard]] std::chrono::nanoseconds timeFor(double tokens) const;
    /// Learned prefill rate.
    [[nodiscard]] double tokensPerMs() const;

private:
    /// Decayed sums of the samples.
    double m_sampledTokens = 0;
    double m_sampledMs = 0;
    /// The pending tokens recorded last, and what was left to prefill of them then.
    std::uint64_t m_pending = 0;
    double m_remaining = 0;
    core::monotonic_time m_recordedAt{};
};

} // namespace medlarrack::gateway
