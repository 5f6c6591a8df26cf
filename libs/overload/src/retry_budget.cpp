#include <medlarrack/overload/retry_budget.hpp>

namespace medlarrack::overload {

namespace {

/// Slices of a window: what is counted too long or too short by one of them is a twentieth.
constexpr int slices = 20;

} // namespace

retry_budget::retry_budget(double share, std::uint32_t beside, std::chrono::nanoseconds window)
    : m_share(share)
    , m_beside(beside)
    , m_window(window)
{
}

void retry_budget::onFirstAttempt(core::monotonic_time now)
{
    ++sliceAt(now).firstAttempts;
}

bool retry_budget::tryRetry(core::monotonic_time now)
{
    slice &current = sliceAt(now);
    // First attempts of whole slices within the window, retries of all that reach into it.
    double allowed = m_beside;
    std::uint32_t taken = 0;
    for (const slice &one : m_slices) {
        taken += one.retries;
        if (one.start >= now - m_window) {
            allowed += m_share * one.firstAttempts;
        }
    }
    if (taken + 1 > allowed) {
        return false;
    }
    ++current.retries;
    return true;
}

retry_budget::slice &retry_budget::sliceAt(core::monotonic_time now)
{
    const auto length = m_window / slices;
    while (!m_slices.empty() && m_slices.front().start + length <= now - m_window) {
        m_slices.pop_front();
    }
    if (m_slices.empty() || now - m_slices.back().start >= length) {
        m_slices.push_back({now, 0, 0});
    }
    return m_slices.back();
}

} // namespace medlarrack::overload
