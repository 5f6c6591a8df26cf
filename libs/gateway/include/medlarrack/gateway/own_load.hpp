#pragma once

#include <medlarrack/core/clock.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace medlarrack::gateway {

/// What the machine of a gateway offers.
struct own_limits
{
    /// Processor cores; unknown if empty.
    std::optional<double> cpuShare;
    /// Bandwidth to callers; unknown if empty.
    std::optional<double> linkMbps;
    std::uint64_t memoryBytes = 0;
};

/// What the process uses.
struct own_use
{
    /// Since its start.
    std::chrono::nanoseconds cpuTime{0};
    std::uint64_t memoryBytes = 0;
};

/// Decides which new requests an overloaded gateway sheds, and when it asks callers to connect elsewhere. Requests are
/// shed only while the event loop is late in several ticks in a row; a single late tick is a pause, after which there
/// is no lack of capacity. Not thread-safe.
class own_load
{
public:
    explicit own_load(const own_limits &limits);
    void setLimits(const own_limits &limits);

    /// A tick, which was due an interval after the last one.
    void recordTick(core::monotonic_time now, std::chrono::nanoseconds interval, const own_use &use);
    /// Records bytes sent to a caller.
    void recordSent(std::size_t bytes);
    /// Records how many of the connections that callers may have are open.
    void recordConnections(std::size_t open, std::size_t limit);
    /// Whether a new request is taken; 0 is the most urgent. The least urgent ones are shed first, as many as
    /// necessary.
    [[nodiscard]] bool admits(std::uint32_t urgency);
    /// Whether a response tells its caller to connect again, which may bring it to another gateway. Some do while the
    /// process is overloaded or close to the limit of its memory or link; all do while few connections more can be
    /// made, so that those that stay open behind a response never take all places. Called once for each response.
    [[nodiscard]] bool closesConnection();
    /// Retry-After of a shed request: callers return soon, as another gateway may have capacity, and spread.
    [[nodiscard]] static std::chrono::milliseconds retryAfter(std::uint32_t random);

    /// Share of the new requests that is shed, 0 to maxShedShare.
    [[nodiscard]] double shedShare() const;
    /// Delay of the last tick.
    [[nodiscard]] std::chrono::nanoseconds lag() const;
    /// Share of the processor time, link and memory in use, each by its limit; 0 if the limit is unknown.
    [[nodiscard]] double cpuUse() const;
    [[nodiscard]] double linkUse() const;
    [[nodiscard]] double memoryUse() const;

    /// Some requests are taken whatever the load, so that the process shows when it has capacity again.
    static constexpr double maxShedShare = 0.9;

private:
    static constexpr std::size_t urgencies = 10;

    void updateUse(core::monotonic_time now, const own_use &use);
    void adjustShedShare(std::chrono::nanoseconds elapsed);
    /// Share of the requests of an urgency that is shed.
    [[nodiscard]] double shareShedOf(std::size_t urgency) const;

    own_limits m_limits;
    std::optional<core::monotonic_time> m_lastTick;
    std::chrono::nanoseconds m_lag{0};
    std::uint32_t m_lateTicks = 0;
    double m_shedShare = 0;
    core::monotonic_time m_windowStart{};
    own_use m_windowUse;
    /// Bytes sent since the window began.
    double m_sentBytes = 0;
    double m_cpuUse = 0;
    double m_linkUse = 0;
    double m_memoryUse = 0;
    bool m_hasFewPlaces = false;
    /// Recent new requests by urgency, decayed.
    std::array<double, urgencies> m_requests{};
    /// Fractions of requests that have yet to be shed, by urgency.
    std::array<double, urgencies> m_shedDebt{};
    /// Responses since the last one that closed its connection.
    std::uint32_t m_keptConnections = 0;
};

} // namespace medlarrack::gateway
