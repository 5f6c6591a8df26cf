#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>

namespace medlarrack::overload {

/// A retry that a budget keeps for a request that may need it later. Given back when it is destroyed; may outlive its
/// budget.
class reserved_retry
{
public:
    explicit reserved_retry(std::shared_ptr<std::uint32_t> reserved);
    ~reserved_retry();
    reserved_retry(const reserved_retry &) = delete;
    reserved_retry &operator=(const reserved_retry &) = delete;
    reserved_retry(reserved_retry &&) = delete;
    reserved_retry &operator=(reserved_retry &&) = delete;

private:
    std::shared_ptr<std::uint32_t> m_reserved;
};

/// Limits retries to a ratio of the first attempts within a sliding window, so that retries can't multiply an overload.
/// Unused budget expires with the window, so the retries of several processes add up to the same ratio of all their
/// first attempts. A burst of failures may use the budget of a whole window at once. Not thread-safe.
class retry_budget
{
public:
    /// In any window, retries are at most `ratio` times the first attempts plus `extraRetries`.
    retry_budget(double ratio, std::uint32_t extraRetries, std::chrono::nanoseconds window);

    /// Counts a first attempt.
    void onFirstAttempt(core::monotonic_time now);
    /// Takes one retry from the budget. Returns false if the budget is exhausted; what is reserved counts as used.
    [[nodiscard]] bool tryRetry(core::monotonic_time now);
    /// Takes one retry and reserves a second one. Null if the budget doesn't have both.
    [[nodiscard]] std::unique_ptr<reserved_retry> tryRetryAndReserve(core::monotonic_time now);
    /// Counts a retry that was reserved until now, or that can't be prevented; the next ones pay for it.
    void recordRetry(core::monotonic_time now);

private:
    struct time_bucket
    {
        core::monotonic_time start{};
        std::uint32_t firstAttempts = 0;
        std::uint32_t retries = 0;
    };

    time_bucket &currentBucket(core::monotonic_time now);
    /// Whether `count` retries more are within the limit.
    [[nodiscard]] bool hasLeft(std::uint32_t count, core::monotonic_time now);

    double m_ratio;
    double m_extraRetries;
    std::chrono::nanoseconds m_window;
    /// Covers the window and one bucket more, newest last.
    std::deque<time_bucket> m_buckets;
    /// Retries that requests in progress may still use.
    std::shared_ptr<std::uint32_t> m_reserved;
};

} // namespace medlarrack::overload
