#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/reason.hpp>
#include <medlarrack/overload/queue_item.hpp>
#include <medlarrack/overload/service_estimate.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Overload protection: rate limits, retry budgets and the queue of waiting requests.
namespace medlarrack::overload {

/// Limits of a run queue.
struct queue_limits
{
    std::size_t maxLength = 512;
    std::size_t maxPerOperator = 256;
    /// Limit of the sum of queue_item::bytes.
    std::size_t maxBytes = 64U << 20U;
};

/// Result of run_queue::push().
struct push_result
{
    bool queued = false;
    /// Why it was not queued: "queue_full", "operator_queue_full" or "deadline_unreachable".
    core::reason why;
    /// Time after which a retry may succeed; zero if not known.
    std::chrono::milliseconds retryAfter{0};
    /// Queued requests that were removed to make room.
    std::vector<queue_item> displaced;
};

/// Queue of requests waiting to run. Higher classes are served first; operators within a class share by weight
/// (start-time fair queueing); requests of one operator are served first in, first out. If the queue is full, room is
/// made by removing the newest request of the operator with the most requests in proportion to its weight, from the
/// lowest class. Not thread-safe.
class run_queue
{
public:
    explicit run_queue(queue_limits limits);

    /// Queues a request, unless it isn't expected to be served before its deadline or there is no room for it.
    [[nodiscard]] push_result push(queue_item item, std::size_t concurrency, core::monotonic_time now);
    /// Removes and returns the first request in service order that may run.
    [[nodiscard]] std::optional<queue_item> pop(const std::function<bool(const queue_item &)> &mayRun);
    /// Removes one request, for example because its caller disconnected.
    std::optional<queue_item> remove(std::uint64_t id);
    /// Removes and returns all requests whose deadline has passed.
    [[nodiscard]] std::vector<queue_item> removeExpired(core::monotonic_time now);
    /// Removes and returns all requests that match.
    [[nodiscard]] std::vector<queue_item> removeIf(const std::function<bool(const queue_item &)> &matches);

    /// All requests in service order. The pointers are valid until the queue changes.
    [[nodiscard]] std::vector<const queue_item *> inServiceOrder() const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t size(core::request_class priority) const;
    [[nodiscard]] std::size_t bytes() const;
    /// The earliest deadline in the queue.
    [[nodiscard]] std::optional<core::monotonic_time> nextDeadline() const;

    /// Changes the limits for requests that are queued from now on; those that wait stay.
    void setLimits(queue_limits limits);
    /// Sets the weight of an operator for fair queueing. The default is 1.
    void setWeight(std::string_view operatorName, double weight);
    /// Run time statistics from which waits are estimated.
    [[nodiscard]] service_estimate &estimate();
    /// Queued requests, per class, that would be served before a request of this class and operator if it were queued
    /// now.
    [[nodiscard]] std::array<std::size_t, 3> queuedAhead(core::request_class priority,
                                                         std::string_view operatorName) const;
    /// Expected wait of a request of this class and operator if it were queued now.
    [[nodiscard]] std::chrono::nanoseconds expectedWait(core::request_class priority, std::string_view operatorName,
                                                        std::size_t concurrency) const;

private:
    /// One operator's requests of one class.
    struct flow
    {
        std::deque<queue_item> items;
        /// Virtual start time of the first item.
        double nextTime = 0;
    };
    struct class_queue
    {
        std::map<std::string, flow, std::less<>> flows;
        /// Virtual start time of the item that was served last.
        double virtualTime = 0;
        std::size_t length = 0;
    };
    struct victim
    {
        class_queue *queue = nullptr;
        flow *from = nullptr;
    };

    [[nodiscard]] class_queue &classQueue(core::request_class priority);
    [[nodiscard]] const class_queue &classQueue(core::request_class priority) const;
    [[nodiscard]] double weightOf(std::string_view operatorName) const;
    [[nodiscard]] std::size_t queuedCount(std::string_view operatorName) const;
    [[nodiscard]] bool hasRoomFor(std::size_t itemBytes) const;
    [[nodiscard]] std::optional<victim> findVictim(const queue_item &arriving);
    [[nodiscard]] bool makeRoom(const queue_item &arriving, std::vector<queue_item> &displaced);
    void append(queue_item item);
    queue_item removeAt(class_queue &queue, flow &from, std::size_t index);
    void eraseIdleFlows(class_queue &queue);

    queue_limits m_limits;
    service_estimate m_estimate;
    std::array<class_queue, 3> m_classes;
    std::map<std::string, double, std::less<>> m_weights;
    std::size_t m_length = 0;
    std::size_t m_bytes = 0;
};

} // namespace medlarrack::overload
