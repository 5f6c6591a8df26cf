#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace medlarrack::gateway {

/// Paces the requests of this process to a replica that names a limit for all processes together. Each process takes
/// an equal share of most of the limit. A share may be a request in half a minute, so that unused shares expire soon:
/// saved up, those of many processes would exceed the limit in a burst. Phases differ between processes. Not
/// thread-safe.
class request_limit
{
public:
    /// An answer names a limit in requests per second, or none. `sentAt` is when its request was sent: an answer that
    /// was on its way when the limit was named doesn't end it. `phase` is the share that is available at first, 0 to 1.
    void update(std::optional<double> perSecond, double phase, core::monotonic_time sentAt, core::monotonic_time now);
    /// Sets the number of processes that share the limit.
    void setSharers(std::uint32_t count, core::monotonic_time now);

    /// The limit, while there is one.
    [[nodiscard]] std::optional<double> perSecond() const;
    /// Whether a request may be sent now; true if there is no limit.
    [[nodiscard]] bool admits(core::monotonic_time now) const;
    /// Time until a request may be sent.
    [[nodiscard]] std::chrono::nanoseconds timeToAdmission(core::monotonic_time now) const;
    void recordRequest(core::monotonic_time now);

private:
    /// Requests per second that this process may send.
    [[nodiscard]] double share() const;
    [[nodiscard]] double creditAt(core::monotonic_time now) const;

    std::optional<double> m_perSecond;
    core::monotonic_time m_namedAt{};
    /// Assumed until the number of processes is known.
    std::uint32_t m_sharers = 16;
    /// Requests that may be sent, with fractions.
    double m_credit = 0;
    core::monotonic_time m_creditedAt{};
};

} // namespace medlarrack::gateway
