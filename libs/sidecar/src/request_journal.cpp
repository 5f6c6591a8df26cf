#include <medlarrack/sidecar/request_journal.hpp>

#include <nlohmann/json.hpp>

namespace medlarrack::sidecar {
namespace {

/// Longer details are truncated.
constexpr std::size_t maxDetailBytes = 200;

} // namespace

request_journal::request_journal(const core::clock &clock, std::size_t maxRequests, std::size_t maxEventsPerRequest)
    : m_clock(clock)
    , m_maxRequests(maxRequests)
    , m_maxEvents(maxEventsPerRequest)
{
}

void request_journal::addEvent(const std::string &requestId, std::string_view event, std::string_view detail)
{
    const std::scoped_lock lock(m_mutex);
    request_events &record = findOrCreate(requestId);
    if (record.events.size() >= m_maxEvents) {
        ++record.dropped;
        return;
    }
    record.events.push_back({m_clock.wallNow(), std::string(event), std::string(detail.substr(0, maxDetailBytes))});
}

std::optional<std::string> request_journal::explain(const std::string &requestId) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_records.find(requestId);
    if (found == m_records.end()) {
        return std::nullopt;
    }
    auto events = nlohmann::json::array();
    for (const recorded_event &item : found->second.events) {
        events.push_back(
            // The same field names as in trace::recorder, since medlarrackctl merges the events of both.
            {{"at_ms", item.at.time_since_epoch().count()}, {"what", item.name}, {"why", item.detail}});
    }
    const nlohmann::json answer = {
        {"request_id", requestId}, {"events", std::move(events)}, {"events_dropped", found->second.dropped}};
    return answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

request_journal::request_events &request_journal::findOrCreate(const std::string &requestId)
{
    const auto [position, inserted] = m_records.try_emplace(requestId);
    if (!inserted) {
        return position->second;
    }
    m_insertionOrder.push_back(requestId);
    if (m_insertionOrder.size() > m_maxRequests) {
        m_records.erase(m_insertionOrder.front());
        m_insertionOrder.pop_front();
    }
    return m_records.at(requestId);
}

} // namespace medlarrack::sidecar
