#include <medlarrack/overload/retry_budget.hpp>

#include <utility>

namespace medlarrack::overload {

namespace {

/// Resolution of the window. Counts are off by at most one bucket, a twentieth of the window.
constexpr int bucketsPerWindow = 20;

} // namespace

reserved_retry::reserved_retry(std::shared_ptr<std::uint32_t> reserved)
    : m_reserved(std::move(reserved))
{
    ++*m_reserved;
}

reserved_retry::~reserved_retry()
{
    --*m_reserved;
}

retry_budget::retry_budget(double ratio, std::uint32_t extraRetries, std::chrono::nanoseconds window)
    : m_ratio(ratio)
    , m_extraRetries(extraRetries)
    , m_window(window)
    , m_reserved(std::make_shared<std::uint32_t>(0))
{
}

void retry_budget::onFirstAttempt(core::monotonic_time now)
{
    ++currentBucket(now).firstAttempts;
}

bool retry_budget::tryRetry(core::monotonic_time now)
{
    if (!hasLeft(1, now)) {
        return false;
    }
    ++currentBucket(now).retries;
    return true;
}

std::unique_ptr<reserved_retry> retry_budget::tryRetryAndReserve(core::monotonic_time now)
{
    if (!hasLeft(2, now)) {
        return nullptr;
    }
    ++currentBucket(now).retries;
    return std::make_unique<reserved_retry>(m_reserved);
}

void retry_budget::recordRetry(core::monotonic_time now)
{
    ++currentBucket(now).retries;
}

bool retry_budget::hasLeft(std::uint32_t count, core::monotonic_time now)
{
    currentBucket(now);
    // Rounds towards fewer retries: counts first attempts only of buckets that lie completely within the window, and
    // retries also of buckets that only overlap it.
    double allowed = m_extraRetries;
    std::uint32_t retries = *m_reserved;
    for (const time_bucket &bucket : m_buckets) {
        retries += bucket.retries;
        if (bucket.start >= now - m_window) {
            allowed += m_ratio * bucket.firstAttempts;
        }
    }
    return retries + count <= allowed;
}

retry_budget::time_bucket &retry_budget::currentBucket(core::monotonic_time now)
{
    const auto bucketDuration = m_window / bucketsPerWindow;
    while (!m_buckets.empty() && m_buckets.front().start + bucketDuration <= now - m_window) {
        m_buckets.pop_front();
    }
    if (m_buckets.empty() || now - m_buckets.back().start >= bucketDuration) {
        m_buckets.push_back({now, 0, 0});
    }
    return m_buckets.back();
}

} // namespace medlarrack::overload
