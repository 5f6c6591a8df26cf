#include <medlarrack/gateway/stop_admission.hpp>

#include <algorithm>
#include <vector>

namespace medlarrack::gateway {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t minDurations = 10;
constexpr double usualShare = 0.9;
constexpr double wholeShare = 1;
/// A request that may run only once is taken if it ends in time even when it takes longer than all recent ones.
constexpr int onceMargin = 2;
/// The answer must be relayed, by a busy process too.
constexpr milliseconds relayTime{100};

} // namespace

void stop_admission::recordDuration(std::string_view route, milliseconds duration)
{
    auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        found = m_routes.emplace(std::string(route), recent_durations{}).first;
    }
    recent_durations &recent = found->second;
    recent.values.at(recent.recorded % maxDurations) = duration;
    ++recent.recorded;
}

void stop_admission::recordRequest(core::monotonic_time now)
{
    m_lastRequestAt = now;
}

core::monotonic_time stop_admission::lastRequestAt() const
{
    return m_lastRequestAt;
}

void stop_admission::beginStop(core::monotonic_time endsAt)
{
    m_endsAt = endsAt;
}

bool stop_admission::canFinish(const late_request &request, core::monotonic_time now) const
{
    if (!m_endsAt) {
        return true;
    }
    const auto left = *m_endsAt - now - relayTime;
    if (request.timeLeft <= left) {
        return true;
    }
    if (!request.mayRepeat) {
        const auto longest = quantile(request.route, wholeShare);
        return longest && *longest * onceMargin <= left;
    }
    if (const auto usual = quantile(request.route, usualShare)) {
        return *usual <= left;
    }
    return !request.streaming && request.latencyTarget <= left;
}

std::optional<milliseconds> stop_admission::quantile(std::string_view route, double share) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end() || found->second.recorded < minDurations) {
        return std::nullopt;
    }
    const recent_durations &recent = found->second;
    const std::size_t count = std::min(recent.recorded, maxDurations);
    std::vector<milliseconds> sorted(recent.values.begin(), recent.values.begin() + static_cast<std::ptrdiff_t>(count));
    const auto at = sorted.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(count - 1) * share);
    std::ranges::nth_element(sorted, at);
    return *at;
}

} // namespace medlarrack::gateway
