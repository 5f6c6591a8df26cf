#include "capacity_waiters.hpp"

#include <utility>
#include <vector>

namespace medlarrack::gateway {

namespace {

/// Requests of one service that are asked in a tick: each asks for a choice among all engines.
constexpr std::size_t maxAskedPerTick = 64;

} // namespace

void capacity_waiters::setEnabled(bool enabled)
{
    m_isEnabled = enabled;
}

bool capacity_waiters::isEnabled() const
{
    return m_isEnabled;
}

std::uint64_t capacity_waiters::add(std::string_view service, waiting_request request,
                                    std::weak_ptr<capacity_waiter> waiter, core::monotonic_time now)
{
    request.id = ++m_lastId;
    m_waiters.emplace(request.id, std::move(waiter));
    refuse(m_queues[std::string(service)].push(request, now));
    return request.id;
}

void capacity_waiters::remove(std::string_view service, std::uint64_t id)
{
    m_waiters.erase(id);
    if (const auto found = m_queues.find(service); found != m_queues.end()) {
        found->second.remove(id);
    }
}

void capacity_waiters::serve(std::string_view service, std::size_t maxAsked, core::monotonic_time now)
{
    const auto found = m_queues.find(service);
    if (m_isServing || found == m_queues.end() || found->second.size() == 0) {
        return;
    }
    m_isServing = true;
    std::size_t asked = 0;
    const auto canBeSent = [&](std::uint64_t id) {
        if (asked >= maxAsked) {
            return false;
        }
        ++asked;
        const auto known = m_waiters.find(id);
        const auto waiter = known == m_waiters.end() ? nullptr : known->second.lock();
        return waiter == nullptr || waiter->canLeaveQueue();
    };
    while (const auto id = found->second.next(canBeSent, now)) {
        if (const auto waiter = take(*id)) {
            waiter->leftQueue();
        }
    }
    m_isServing = false;
}

void capacity_waiters::tick(core::monotonic_time now)
{
    for (auto &[service, queue] : m_queues) {
        serve(service, maxAskedPerTick, now);
        refuse(queue.removeLate(now));
    }
}

std::chrono::milliseconds capacity_waiters::expectedWait(std::string_view service, const waiting_request &request,
                                                         core::monotonic_time now) const
{
    const auto found = m_queues.find(service);
    return found == m_queues.end() ? std::chrono::milliseconds(0) : found->second.expectedWait(request, now);
}

std::vector<service_queue> capacity_waiters::queues(core::monotonic_time now) const
{
    std::vector<service_queue> all;
    for (const auto &[service, queue] : m_queues) {
        all.push_back({service, queue.levels(now)});
    }
    return all;
}

void capacity_waiters::refuse(const std::vector<admission_refusal> &refused)
{
    for (const admission_refusal &each : refused) {
        if (const auto waiter = take(each.id)) {
            waiter->refusedByQueue(each);
        }
    }
}

std::shared_ptr<capacity_waiter> capacity_waiters::take(std::uint64_t id)
{
    const auto found = m_waiters.find(id);
    if (found == m_waiters.end()) {
        return nullptr;
    }
    const auto waiter = found->second.lock();
    m_waiters.erase(found);
    return waiter;
}

} // namespace medlarrack::gateway
