#pragma once

#include <algorithm>
#include <mutex>

namespace medlarrack::entry {

/// Bounds retries to a share of the requests, so that failing targets aren't buried under them. Thread-safe; its mutex
/// is a leaf in the lock order.
class retry_budget
{
public:
    /// Retries per request in the long run, and how many may come at once.
    retry_budget(double ratio, double burst)
        : m_ratio(ratio)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// A request came in.
    void earn()
    {
        const std::lock_guard lock(m_mutex);
        m_tokens = std::min(m_burst, m_tokens + m_ratio);
    }

    /// Whether a retry may be made now.
    [[nodiscard]] bool spend()
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
