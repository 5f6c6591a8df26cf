#pragma once

#include <algorithm>
#include <mutex>

namespace medlarrack::entry {

/// Limits retries to a share of the requests, so that retries don't overload failing targets. Thread-safe; no other
/// lock is taken while its mutex is held.
class retry_budget
{
public:
    /// ratio: average number of retries per request; burst: maximum number of retries at once.
    retry_budget(double ratio, double burst)
        : m_ratio(ratio)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// Adds the share of a new request to the budget.
    void onRequest()
    {
        const std::lock_guard lock(m_mutex);
        m_tokens = std::min(m_burst, m_tokens + m_ratio);
    }

    /// Takes one retry from the budget. Returns false if it is used up.
    [[nodiscard]] bool tryConsume()
    {
        const std::lock_guard lock(m_mutex);
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    const double m_ratio;
    const double m_burst;
    std::mutex m_mutex;
    double m_tokens;
};

} // namespace medlarrack::entry
