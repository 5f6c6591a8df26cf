#pragma once

#include <medlarrack/core/clock.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// A request that is about to be sent to a replica while the process is being stopped.
struct late_request
{
    std::string_view route;
    bool streaming = false;
    /// Whether it may run again elsewhere if this process ends before its answer.
    bool mayRepeat = false;
    std::chrono::milliseconds latencyTarget{0};
    /// Until its deadline or the route's time-out.
    std::chrono::milliseconds timeLeft{0};
};

/// Decides whether a request can be finished before a stopping process ends, from how long the last requests of its
/// route took.
class stop_admission
{
public:
    /// A request of the route that a replica ran has ended, with or without an answer.
    void recordDuration(std::string_view route, std::chrono::milliseconds duration);
    /// A caller has sent a request.
    void recordRequest(core::monotonic_time now);
    [[nodiscard]] core::monotonic_time lastRequestAt() const;

    /// The process is being stopped: no request is in progress any more at the given time.
    void beginStop(core::monotonic_time endsAt);
    /// Always true unless the process is being stopped. One that may run only once must very likely be done in time.
    [[nodiscard]] bool canFinish(const late_request &request, core::monotonic_time now) const;

private:
    static constexpr std::size_t maxDurations = 100;
    struct recent_durations
    {
        std::array<std::chrono::milliseconds, maxDurations> values{};
        std::size_t recorded = 0;
    };

    /// Within which the given share of the recent requests ended; nothing if too few are known.
    [[nodiscard]] std::optional<std::chrono::milliseconds> quantile(std::string_view route, double share) const;

    std::map<std::string, recent_durations, std::less<>> m_routes;
    std::optional<core::monotonic_time> m_endsAt;
    core::monotonic_time m_lastRequestAt{};
};

} // namespace medlarrack::gateway
