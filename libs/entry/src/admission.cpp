#include "admission.hpp"

#include <utility>

namespace medlarrack::entry {

namespace {

constexpr std::chrono::seconds idleRetention{60};
constexpr std::chrono::seconds capacityRetryAfter{1};

/// Share of the entry's capacity that requests of a class may fill.
double capacityShareOf(core::request_class priority)
{
    switch (priority) {
    case core::request_class::control:
        return 1;
    case core::request_class::interactive:
        return 0.95;
    case core::request_class::bulk:
        return 0.8;
    }
    return 0;
}

} // namespace

admission::permit::permit(admission &owner, std::string operatorName)
    : m_owner(owner)
    , m_operator(std::move(operatorName))
{
}

admission::permit::~permit()
{
    m_owner.release(m_operator);
}

admission::admission(std::size_t maxInFlight)
    : m_maxInFlight(maxInFlight)
{
}

std::unique_ptr<admission::permit> admission::admit(const std::string &operatorName,
                                                    const tickets::operator_state &limits, core::request_class priority,
                                                    core::monotonic_time now, error_response &error)
{
    const std::lock_guard lock(m_mutex);
    evictIdleOperators(now);
    if (static_cast<double>(m_inFlight) + 1 > static_cast<double>(m_maxInFlight) * capacityShareOf(priority)) {
        error = {503, "overloaded", "this entry has too many requests in flight", core::outcome::not_run,
                 capacityRetryAfter};
        return nullptr;
    }
    operator_usage &usage = m_operators[operatorName];
    usage.lastUsedAt = now;
    if (usage.inFlight >= limits.maxInFlight) {
        error = {429, "operator_in_flight_limit", "the operator has too many requests in flight",
                 core::outcome::not_run, capacityRetryAfter};
        return nullptr;
    }
    if (!usage.rate.tryConsume(limits.maxRequestsPerSecond, now)) {
        error = {429, "operator_rate_limit", "the operator sends too many requests a second", core::outcome::not_run,
                 usage.rate.timeUntilToken(limits.maxRequestsPerSecond)};
        return nullptr;
    }
    ++usage.inFlight;
    ++m_inFlight;
    return std::make_unique<permit>(*this, operatorName);
}

std::size_t admission::inFlight() const
{
    const std::lock_guard lock(m_mutex);
    return m_inFlight;
}

std::map<std::string, std::size_t> admission::inFlightByOperator() const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::size_t> result;
    for (const auto &[name, usage] : m_operators) {
        if (usage.inFlight > 0) {
            result[name] = usage.inFlight;
        }
    }
    return result;
}

void admission::release(const std::string &operatorName)
{
    const std::lock_guard lock(m_mutex);
    --m_inFlight;
    --m_operators[operatorName].inFlight;
}

void admission::evictIdleOperators(core::monotonic_time now)
{
    if (now - m_lastEvictionAt < idleRetention) {
        return;
    }
    m_lastEvictionAt = now;
    std::erase_if(m_operators, [&](const auto &item) {
        return item.second.inFlight == 0 && now - item.second.lastUsedAt >= idleRetention;
    });
}

} // namespace medlarrack::entry
