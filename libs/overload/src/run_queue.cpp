#include <medlarrack/overload/run_queue.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::overload {
namespace {

constexpr double minWeight = 0.001;

push_result refusal(std::string code, std::string message, std::chrono::nanoseconds retryAfter)
{
    push_result result;
    result.why = {std::move(code), std::move(message)};
    result.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(retryAfter);
    return result;
}

} // namespace

run_queue::run_queue(queue_limits limits)
    : m_limits(limits)
{
}

push_result run_queue::push(queue_item item, std::size_t concurrency, core::monotonic_time now)
{
    const auto wait = expectedWait(item.priority, item.operatorName, concurrency);
    if (now + wait >= item.deadline) {
        return refusal("deadline_unreachable", "the queue is longer than the time left until the deadline", wait);
    }
    if (queuedCount(item.operatorName) >= m_limits.maxPerOperator) {
        return refusal("operator_queue_full", "the operator has too many requests queued here", wait);
    }
    push_result result;
    if (!makeRoom(item, result.displaced)) {
        return refusal("queue_full", "the queue of the target is full", wait);
    }
    append(std::move(item));
    result.queued = true;
    return result;
}

std::optional<queue_item> run_queue::pop(const std::function<bool(const queue_item &)> &mayRun)
{
    for (class_queue &queue : m_classes) {
        std::vector<std::pair<double, flow *>> ordered;
        for (auto &[name, candidate] : queue.flows) {
            if (!candidate.items.empty()) {
                ordered.emplace_back(candidate.nextTime, &candidate);
            }
        }
        std::stable_sort(ordered.begin(), ordered.end(), [](const auto &a, const auto &b) {
            return a.first < b.first;
        });
        for (auto &[time, candidate] : ordered) {
            const auto found = std::find_if(candidate->items.begin(), candidate->items.end(), mayRun);
            if (found == candidate->items.end()) {
                continue;
            }
            const auto index = static_cast<std::size_t>(found - candidate->items.begin());
            queue.virtualTime = std::max(queue.virtualTime, time);
            candidate->nextTime = time + 1 / weightOf(found->operatorName);
            queue_item removed = removeAt(queue, *candidate, index);
            eraseIdleFlows(queue);
            return removed;
        }
    }
    return std::nullopt;
}

std::optional<queue_item> run_queue::remove(std::uint64_t id)
{
    auto removed = removeIf([id](const queue_item &item) {
        return item.id == id;
    });
    if (removed.empty()) {
        return std::nullopt;
    }
    return std::move(removed.front());
}

std::vector<queue_item> run_queue::removeExpired(core::monotonic_time now)
{
    return removeIf([now](const queue_item &item) {
        return item.deadline <= now;
    });
}

std::vector<queue_item> run_queue::removeIf(const std::function<bool(const queue_item &)> &matches)
{
    std::vector<queue_item> removed;
    for (class_queue &queue : m_classes) {
        for (auto &[name, candidate] : queue.flows) {
            for (std::size_t i = 0; i < candidate.items.size();) {
                if (matches(candidate.items[i])) {
                    removed.push_back(removeAt(queue, candidate, i));
                } else {
                    ++i;
                }
            }
        }
        eraseIdleFlows(queue);
    }
    return removed;
}

std::vector<const queue_item *> run_queue::inServiceOrder() const
{
    std::vector<const queue_item *> items;
    items.reserve(m_length);
    for (const class_queue &queue : m_classes) {
        std::vector<std::pair<double, const queue_item *>> ordered;
        ordered.reserve(queue.length);
        for (const auto &[name, candidate] : queue.flows) {
            const double step = 1 / weightOf(name);
            double time = candidate.nextTime;
            for (const queue_item &item : candidate.items) {
                ordered.emplace_back(time, &item);
                time += step;
            }
        }
        std::stable_sort(ordered.begin(), ordered.end(), [](const auto &a, const auto &b) {
            return a.first < b.first;
        });
        for (const auto &[time, item] : ordered) {
            items.push_back(item);
        }
    }
    return items;
}

std::size_t run_queue::size() const
{
    return m_length;
}

std::size_t run_queue::size(core::request_class priority) const
{
    return classQueue(priority).length;
}

std::size_t run_queue::bytes() const
{
    return m_bytes;
}

std::optional<core::monotonic_time> run_queue::nextDeadline() const
{
    std::optional<core::monotonic_time> earliest;
    for (const class_queue &queue : m_classes) {
        for (const auto &[name, candidate] : queue.flows) {
            for (const queue_item &item : candidate.items) {
                earliest = std::min(earliest.value_or(item.deadline), item.deadline);
            }
        }
    }
    return earliest;
}

void run_queue::setLimits(queue_limits limits)
{
    m_limits = limits;
}

void run_queue::setWeight(std::string_view operatorName, double weight)
{
    m_weights.insert_or_assign(std::string(operatorName), std::max(weight, minWeight));
}

service_estimate &run_queue::estimate()
{
    return m_estimate;
}

std::array<std::size_t, 3> run_queue::queuedAhead(core::request_class priority, std::string_view operatorName) const
{
    std::array<std::size_t, 3> ahead{};
    for (core::request_class higher : core::allRequestClasses) {
        if (higher < priority) {
            ahead.at(static_cast<std::size_t>(higher)) = size(higher);
        }
    }
    const class_queue &same = classQueue(priority);
    const auto own = same.flows.find(operatorName);
    const double ownLength = own == same.flows.end() ? 0.0 : static_cast<double>(own->second.items.size());
    // Before this request is served, each other operator gets at most its weighted share.
    const double turns = (ownLength + 1) / weightOf(operatorName);
    double sameAhead = ownLength;
    for (const auto &[name, other] : same.flows) {
        if (name != operatorName) {
            sameAhead += std::min(static_cast<double>(other.items.size()), turns * weightOf(name));
        }
    }
    ahead.at(static_cast<std::size_t>(priority)) = static_cast<std::size_t>(sameAhead);
    return ahead;
}

std::chrono::nanoseconds run_queue::expectedWait(core::request_class priority, std::string_view operatorName,
                                                 std::size_t concurrency) const
{
    return m_estimate.waitBehind(queuedAhead(priority, operatorName), concurrency);
}

run_queue::class_queue &run_queue::classQueue(core::request_class priority)
{
    return m_classes.at(static_cast<std::size_t>(priority));
}

const run_queue::class_queue &run_queue::classQueue(core::request_class priority) const
{
    return m_classes.at(static_cast<std::size_t>(priority));
}

double run_queue::weightOf(std::string_view operatorName) const
{
    const auto found = m_weights.find(operatorName);
    return found == m_weights.end() ? 1.0 : found->second;
}

std::size_t run_queue::queuedCount(std::string_view operatorName) const
{
    std::size_t sum = 0;
    for (const class_queue &queue : m_classes) {
        const auto found = queue.flows.find(operatorName);
        sum += found == queue.flows.end() ? 0 : found->second.items.size();
    }
    return sum;
}

bool run_queue::hasRoomFor(std::size_t itemBytes) const
{
    return m_length < m_limits.maxLength && m_bytes + itemBytes <= m_limits.maxBytes;
}

std::optional<run_queue::victim> run_queue::findVictim(const queue_item &arriving)
{
    for (auto queue = m_classes.rbegin(); queue != m_classes.rend(); ++queue) {
        const bool sameClass = &*queue == &classQueue(arriving.priority);
        victim worst;
        double worstShare = 0;
        if (sameClass) {
            const auto own = queue->flows.find(arriving.operatorName);
            const double ownLength = own == queue->flows.end() ? 0.0 : static_cast<double>(own->second.items.size());
            // Counts the arriving request, so that it only displaces a request of an operator whose weighted share is
            // larger than its own operator's would become.
            worstShare = (ownLength + 1) / weightOf(arriving.operatorName);
        }
        for (auto &[name, candidate] : queue->flows) {
            const double share = static_cast<double>(candidate.items.size()) / weightOf(name);
            if (share > worstShare) {
                worst = {&*queue, &candidate};
                worstShare = share;
            }
        }
        if (worst.from != nullptr) {
            return worst;
        }
        if (sameClass) {
            break;
        }
    }
    return std::nullopt;
}

bool run_queue::makeRoom(const queue_item &arriving, std::vector<queue_item> &displaced)
{
    if (arriving.bytes > m_limits.maxBytes) {
        return false;
    }
    while (!hasRoomFor(arriving.bytes)) {
        const auto found = findVictim(arriving);
        if (!found) {
            for (auto item = displaced.rbegin(); item != displaced.rend(); ++item) {
                append(std::move(*item));
            }
            displaced.clear();
            return false;
        }
        displaced.push_back(removeAt(*found->queue, *found->from, found->from->items.size() - 1));
    }
    return true;
}

void run_queue::append(queue_item item)
{
    class_queue &queue = classQueue(item.priority);
    flow &destination = queue.flows[item.operatorName];
    if (destination.items.empty()) {
        destination.nextTime = std::max(destination.nextTime, queue.virtualTime);
    }
    ++m_length;
    ++queue.length;
    m_bytes += item.bytes;
    destination.items.push_back(std::move(item));
}

queue_item run_queue::removeAt(class_queue &queue, flow &from, std::size_t index)
{
    const auto position = from.items.begin() + static_cast<std::ptrdiff_t>(index);
    queue_item removed = std::move(*position);
    from.items.erase(position);
    --m_length;
    --queue.length;
    m_bytes -= removed.bytes;
    return removed;
}

void run_queue::eraseIdleFlows(class_queue &queue)
{
    // The virtual time has passed these flows, so dropping their state gives them no advantage when they return.
    std::erase_if(queue.flows, [&queue](const auto &entry) {
        return entry.second.items.empty() && entry.second.nextTime <= queue.virtualTime;
    });
}

} // namespace medlarrack::overload
