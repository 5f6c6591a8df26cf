#include <medlarrack/gateway/admission.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace medlarrack::gateway {

namespace {

using std::chrono::milliseconds;

/// exchange::urgency() names ten levels.
constexpr std::size_t levelCount = 10;
/// Time constant of the observed rate: longer than the time for which engines are full in a burst, shorter than the
/// changes of the load.
constexpr std::chrono::duration<double> observationTime{2};
/// Time in which requests have waited from which the rate is known.
constexpr double minBusySeconds = 0.2;
/// Bound of expected waits; a caller's retry that comes later gains nothing.
constexpr milliseconds maxExpectedWait{1'500};
/// A replica has a free slot within this time.
constexpr milliseconds freeSlotTime{200};

std::size_t levelOf(std::uint32_t urgency)
{
    return std::min<std::size_t>(urgency, levelCount - 1);
}

/// Within a level the class tells returning callers from first attempts.
core::request_class classOf(const waiting_request &request)
{
    return request.isReturning ? core::request_class::control : core::request_class::interactive;
}

overload::queue_item itemFor(const waiting_request &request, core::monotonic_time now)
{
    overload::queue_item item;
    item.id = request.id;
    item.priority = classOf(request);
    item.operatorName = request.tenant;
    item.enqueued = now;
    item.deadline = request.latestStart;
    item.bytes = request.bytes;
    return item;
}

} // namespace

admission::admission(admission_limits limits)
    : m_limits(limits)
    , m_levels(levelCount, overload::run_queue({limits.maxRequests, limits.maxRequests, limits.maxBytes}))
{
}

std::vector<admission_refusal> admission::push(const waiting_request &request, core::monotonic_time now)
{
    observe(now);
    m_levels[levelOf(request.urgency)].setWeight(request.tenant, request.weight);
    const milliseconds wait = expectedWait(request, now);
    if (now + wait >= request.latestStart) {
        return {{request.id,
                 {std::string(deadlineUnreachable), "no capacity is expected before the deadline"},
                 std::max(wait, freeSlotTime)}};
    }
    if (request.bytes > m_limits.maxBytes) {
        return {{request.id, {"queue_full", "the request is larger than the queue"}, freeSlotTime}};
    }
    const std::size_t level = levelOf(request.urgency);
    std::vector<admission_refusal> refused;
    while (size() >= m_limits.maxRequests || bytes() + request.bytes > m_limits.maxBytes) {
        if (!displaceBelow(level, now, refused)) {
            break;
        }
    }
    overload::run_queue &queue = m_levels[level];
    const queue_use others = useBesides(level);
    queue.setLimits({m_limits.maxRequests - others.requests, m_limits.maxRequests, m_limits.maxBytes - others.bytes});
    const overload::push_result pushed = queue.push(itemFor(request, now), 1, now);
    for (const overload::queue_item &item : pushed.displaced) {
        refused.push_back(
            {item.id, {"queue_full", "another tenant has fewer requests waiting"}, std::max(wait, freeSlotTime)});
    }
    if (!pushed.queued) {
        refused.push_back({request.id, pushed.why, std::max(wait, freeSlotTime)});
    }
    return refused;
}

std::optional<std::uint64_t> admission::next(const std::function<bool(std::uint64_t)> &canBeSent,
                                             core::monotonic_time now)
{
    observe(now);
    for (overload::run_queue &queue : m_levels) {
        const auto sent = queue.pop([&canBeSent](const overload::queue_item &item) {
            return canBeSent(item.id);
        });
        if (sent) {
            m_sent += 1;
            return sent->id;
        }
    }
    return std::nullopt;
}

bool admission::remove(std::uint64_t id)
{
    return std::any_of(m_levels.begin(), m_levels.end(), [id](overload::run_queue &queue) {
        return queue.remove(id).has_value();
    });
}

std::vector<admission_refusal> admission::removeLate(core::monotonic_time now)
{
    observe(now);
    std::vector<admission_refusal> late;
    std::size_t ahead = 0;
    for (overload::run_queue &queue : m_levels) {
        for (const overload::queue_item *item : queue.inServiceOrder()) {
            const milliseconds wait = waitBehind(ahead, now);
            if (now + wait >= item->deadline) {
                late.push_back({item->id,
                                {std::string(deadlineUnreachable), "no capacity is expected before the deadline"},
                                std::max(wait, freeSlotTime)});
            } else {
                ++ahead;
            }
        }
    }
    for (const admission_refusal &each : late) {
        remove(each.id);
    }
    return late;
}

bool admission::goesBefore(std::uint32_t urgency) const
{
    const auto end = m_levels.begin() + static_cast<std::ptrdiff_t>(levelOf(urgency));
    return std::any_of(m_levels.begin(), end, [](const overload::run_queue &queue) {
        return queue.size() > 0;
    });
}

milliseconds admission::expectedWait(const waiting_request &request, core::monotonic_time now) const
{
    const std::size_t level = levelOf(request.urgency);
    const auto ofLevel = m_levels[level].queuedAhead(classOf(request), request.tenant);
    std::size_t ahead = std::accumulate(ofLevel.begin(), ofLevel.end(), std::size_t{0});
    for (std::size_t other = 0; other < level; ++other) {
        ahead += m_levels[other].size();
    }
    return waitBehind(ahead, now);
}

std::vector<queued_level> admission::levels(core::monotonic_time now) const
{
    std::vector<queued_level> all;
    for (const overload::run_queue &queue : m_levels) {
        queued_level level{static_cast<std::uint32_t>(all.size()), queue.size(), queue.bytes()};
        for (const overload::queue_item *item : queue.inServiceOrder()) {
            level.oldestWait = std::max<std::chrono::nanoseconds>(level.oldestWait, now - item->enqueued);
        }
        all.push_back(level);
    }
    return all;
}

std::size_t admission::size() const
{
    std::size_t sum = 0;
    for (const overload::run_queue &queue : m_levels) {
        sum += queue.size();
    }
    return sum;
}

std::size_t admission::bytes() const
{
    std::size_t sum = 0;
    for (const overload::run_queue &queue : m_levels) {
        sum += queue.bytes();
    }
    return sum;
}

admission::queue_use admission::useBesides(std::size_t level) const
{
    return {size() - m_levels[level].size(), bytes() - m_levels[level].bytes()};
}

bool admission::displaceBelow(std::size_t level, core::monotonic_time now, std::vector<admission_refusal> &refused)
{
    for (std::size_t least = levelCount - 1; least > level; --least) {
        overload::run_queue &queue = m_levels[least];
        if (queue.size() == 0) {
            continue;
        }
        const std::uint64_t id = queue.inServiceOrder().back()->id;
        const milliseconds wait = waitBehind(size(), now);
        queue.remove(id);
        refused.push_back({id, {"queue_full", "a more urgent request needs the room"}, std::max(wait, freeSlotTime)});
        return true;
    }
    return false;
}

void admission::observe(core::monotonic_time now)
{
    if (size() > 0) {
        const std::chrono::duration<double> elapsed = now - m_observedAt;
        const double kept = std::exp(-elapsed / observationTime);
        m_busySeconds = m_busySeconds * kept + elapsed.count();
        m_sent *= kept;
    }
    m_observedAt = now;
}

milliseconds admission::waitBehind(std::size_t requests, core::monotonic_time now) const
{
    const double unobserved = size() > 0 ? std::chrono::duration<double>(now - m_observedAt).count() : 0;
    const double busySeconds = m_busySeconds + unobserved;
    if (busySeconds < minBusySeconds) {
        return milliseconds(0);
    }
    const double seconds = static_cast<double>(requests) * busySeconds / (m_sent + 1);
    const std::chrono::duration<double> bounded(
        std::min(seconds, std::chrono::duration<double>(maxExpectedWait).count()));
    return std::chrono::ceil<milliseconds>(bounded);
}

} // namespace medlarrack::gateway
