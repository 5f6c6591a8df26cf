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

/// Decisions that keep a process useful under more work than it can do.
namespace medlarrack::overload {

/// Bounds of a run queue.
struct queue_limits
{
    std::size_t maxLength = 512;
    std::size_t maxPerOperator = 256;
    /// Sum of queue_item::bytes.
    std::size_t maxBytes = 64U << 20U;
};

/// What became of a push.
struct push_result
{
    bool queued = false;
    /// Why it was not queued: "queue_full", "operator_queue_full" or "deadline_unreachable".
    core::reason why;
    /// When coming back may help; zero when not known.
    std::chrono::milliseconds retryAfter{0};
    /// Requests that were thrown out to make room.
    std::vector<queue_item> displaced;
};

/// Requests waiting to run: higher classes first, weighted fair shares between the operators within a class (start-time
/// fair queueing), first in first out within an operator. When full, room is made at the end of the lowest class, from
/// the operator that holds the most there in proportion to its weight. Not thread-safe.
class run_queue
{
public:
    explicit run_queue(queue_limits limits);

    /// Queues a request unless its deadline can't be met behind those ahead or there is no room for it.
    [[nodiscard]] push_result push(queue_item item, std::size_t concurrency, core::monotonic_time now);
    /// Takes the first request in service order that may run.
    [[nodiscard]] std::optional<queue_item> pop(const std::function<bool(const queue_item &)> &mayRun);
    /// Takes one request out, for example when its caller has gone.
    std::optional<queue_item> remove(std::uint64_t id);
    /// Takes out all requests whose deadline has passed.
    [[nodiscard]] std::vector<queue_item> removeExpired(core::monotonic_time now);
    /// Takes out all requests that match.
    [[nodiscard]] std::vector<queue_item> removeIf(const std::function<bool(const queue_item &)> &matches);

    /// All requests in the order in which they would be served. Valid until the next change.
    [[nodiscard]] std::vector<const queue_item *> inServiceOrder() const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t size(core::request_class priority) const;
    [[nodiscard]] std::size_t bytes() const;
    /// The earliest deadline in the queue.
    [[nodiscard]] std::optional<core::monotonic_time> nextDeadline() const;

    /// Weight of an operator in fair shares; 1 unless set.
    void setWeight(std::string_view operatorName, double weight);
    /// Run times that waits are estimated from.
    [[nodiscard]] service_estimate &estimate();
    /// Expected wait of a request of that class and operator if it came now.
    [[nodiscard]] std::chrono::nanoseconds expectedWait(core::request_class priority, std::string_view operatorName,
                                                        std::size_t concurrency) const;

private:
    /// One operator's requests of one class.
    struct flow
    {
        std::deque<queue_item> items;
        /// Virtual time at which the next item is served.
        double next = 0;
    };
    struct class_queue
    {
        std::map<std::string, flow, std::less<>> flows;
        /// Virtual time of the last item served.
        double served = 0;
        std::size_t length = 0;
    };
    struct victim
    {
        class_queue *queue = nullptr;
        flow *from = nullptr;
    };

    [[nodiscard]] class_queue &of(core::request_class priority);
    [[nodiscard]] const class_queue &of(core::request_class priority) const;
    [[nodiscard]] double weightOf(std::string_view operatorName) const;
    [[nodiscard]] std::size_t queuedBy(std::string_view operatorName) const;
    [[nodiscard]] bool hasRoomFor(std::size_t itemBytes) const;
    [[nodiscard]] std::optional<victim> findVictim(const queue_item &arriving);
    [[nodiscard]] bool makeRoom(const queue_item &arriving, std::vector<queue_item> &displaced);
    void append(queue_item item);
    queue_item take(class_queue &queue, flow &from, std::size_t index);
    void forgetIdleFlows(class_queue &queue);

    queue_limits m_limits;
    service_estimate m_estimate;
    std::array<class_queue, 3> m_classes;
    std::map<std::string, double, std::less<>> m_weights;
    std::size_t m_length = 0;
    std::size_t m_bytes = 0;
};

} // namespace medlarrack::overload
