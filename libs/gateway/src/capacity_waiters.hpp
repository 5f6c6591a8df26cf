#pragma once

#include <medlarrack/gateway/admission.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::gateway {

/// The queue of one service.
struct service_queue
{
    std::string_view service;
    std::vector<queued_level> levels;
};

/// Receives the outcome of waiting for capacity of a service.
class capacity_waiter
{
public:
    capacity_waiter() = default;
    capacity_waiter(const capacity_waiter &) = delete;
    capacity_waiter &operator=(const capacity_waiter &) = delete;
    virtual ~capacity_waiter() = default;

    /// Whether waiting has ended: a replica takes the request now, or none is expected to.
    [[nodiscard]] virtual bool canLeaveQueue() const = 0;
    /// The request has left the queue and is to be dispatched again.
    virtual void leftQueue() = 0;
    /// The request has left the queue because it is refused.
    virtual void refusedByQueue(const admission_refusal &refusal) = 0;
};

/// Registry of the requests that wait for capacity, by service.
class capacity_waiters
{
public:
    /// Whether requests are queued at all; off unless the settings ask for it.
    void setEnabled(bool enabled);
    [[nodiscard]] bool isEnabled() const;

    /// Queues a request and returns its id. Requests that are refused by this are told so, perhaps the request itself.
    std::uint64_t add(std::string_view service, waiting_request request, std::weak_ptr<capacity_waiter> waiter,
                      core::monotonic_time now);
    /// Removes a request that no longer waits.
    void remove(std::string_view service, std::uint64_t id);
    /// Takes requests of a service out of its queue, in its order, while replicas take them; asks at most the given
    /// number of them.
    void serve(std::string_view service, std::size_t maxAsked, core::monotonic_time now);
    /// The same for all services, and refuses requests whose deadline can no longer be met.
    void tick(core::monotonic_time now);

    /// Time until a request of a service would be expected to be sent if it were queued now.
    [[nodiscard]] std::chrono::milliseconds expectedWait(std::string_view service, const waiting_request &request,
                                                         core::monotonic_time now) const;
    /// The queues of all services that have had one.
    [[nodiscard]] std::vector<service_queue> queues(core::monotonic_time now) const;

private:
    void refuse(const std::vector<admission_refusal> &refused);
    std::shared_ptr<capacity_waiter> take(std::uint64_t id);

    std::map<std::string, admission, std::less<>> m_queues;
    std::map<std::uint64_t, std::weak_ptr<capacity_waiter>> m_waiters;
    std::uint64_t m_lastId = 0;
    bool m_isEnabled = false;
    /// A request that leaves its queue may end at once, after which its caller sends the next one.
    bool m_isServing = false;
};

} // namespace medlarrack::gateway
