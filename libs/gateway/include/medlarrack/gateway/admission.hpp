#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/reason.hpp>
#include <medlarrack/overload/run_queue.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::gateway {

/// Limits of the requests of one service that wait at the gateway for capacity.
struct admission_limits
{
    std::size_t maxRequests = 512;
    std::size_t maxBytes = 8U << 20U;
};

/// A request for which no engine has capacity.
struct waiting_request
{
    /// Identifies the request within this process.
    std::uint64_t id = 0;
    /// Empty if there are no tenants.
    std::string tenant;
    /// Share of the tenant among those that wait with the same urgency.
    double weight = 1;
    /// 0 is served first.
    std::uint32_t urgency = 0;
    /// The caller retries a request that was refused.
    bool isReturning = false;
    /// Memory that the request holds.
    std::size_t bytes = 0;
    /// Latest time at which it can be sent so that its deadline is met.
    core::monotonic_time latestStart{};
};

/// Code of a refusal because no capacity is expected before the deadline.
inline constexpr std::string_view deadlineUnreachable = "deadline_unreachable";

/// A request that is refused, and when capacity is expected for it.
struct admission_refusal
{
    std::uint64_t id = 0;
    core::reason why;
    /// Without jitter.
    std::chrono::milliseconds retryAfter{0};
};

/// Requests of one urgency that wait.
struct queued_level
{
    std::uint32_t urgency = 0;
    std::size_t requests = 0;
    std::size_t bytes = 0;
    /// Time since the oldest of them was queued.
    std::chrono::nanoseconds oldestWait{0};
};

/// Queue of the requests of one service that no engine has capacity for. More urgent requests are sent first; within an
/// urgency those of returning callers, then tenants share by weight. A full queue makes room for a more urgent request,
/// or for a tenant that has fewer waiting. A request is refused as soon as its deadline is not expected to be met, by
/// the rate at which requests have lately left the queue. Not thread-safe.
class admission
{
public:
    explicit admission(admission_limits limits = {});

    /// Queues a request. Returns the requests that are refused by this: the request itself, or others that made room.
    [[nodiscard]] std::vector<admission_refusal> push(const waiting_request &request, core::monotonic_time now);
    /// Removes and returns the first request in service order that can be sent now. Requests of which an engine takes
    /// none, such as those for an adapter whose engines are full, are passed over.
    [[nodiscard]] std::optional<std::uint64_t> next(const std::function<bool(std::uint64_t id)> &canBeSent,
                                                    core::monotonic_time now);
    /// Removes a request whose caller has left or that ends for another reason; false if it doesn't wait.
    bool remove(std::uint64_t id);
    /// Removes and returns the requests whose deadline can no longer be met.
    [[nodiscard]] std::vector<admission_refusal> removeLate(core::monotonic_time now);

    /// Whether requests wait that go before a new one of this urgency.
    [[nodiscard]] bool goesBefore(std::uint32_t urgency) const;
    /// Time until the request is expected to be sent if it is queued now; at most a bound above which it says nothing.
    [[nodiscard]] std::chrono::milliseconds expectedWait(const waiting_request &request,
                                                         core::monotonic_time now) const;
    /// All urgencies, the most urgent first.
    [[nodiscard]] std::vector<queued_level> levels(core::monotonic_time now) const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t bytes() const;

private:
    struct queue_use
    {
        std::size_t requests = 0;
        std::size_t bytes = 0;
    };

    [[nodiscard]] queue_use useBesides(std::size_t level) const;
    /// Removes the last request of the least urgent level below the given one; false if there is none.
    bool displaceBelow(std::size_t level, core::monotonic_time now, std::vector<admission_refusal> &refused);
    /// Adds the time since the last call, if requests were waiting, to that in which the rate is observed.
    void observe(core::monotonic_time now);
    [[nodiscard]] std::chrono::milliseconds waitBehind(std::size_t requests, core::monotonic_time now) const;

    admission_limits m_limits;
    /// By urgency.
    std::vector<overload::run_queue> m_levels;
    /// Decayed time in which requests waited, in seconds, and the requests that left the queue in it.
    double m_busySeconds = 0;
    double m_sent = 0;
    core::monotonic_time m_observedAt{};
};

} // namespace medlarrack::gateway
