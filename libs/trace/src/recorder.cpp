#include "json_text.hpp"

#include <medlarrack/trace/recorder.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace medlarrack::trace {

namespace {

struct event
{
    core::wall_time at;
    std::string what;
    std::string why;
    std::vector<fact> known;
};

struct request_record
{
    std::vector<event> events;
    std::size_t dropped = 0;
};

struct change_record
{
    std::string subject;
    event happened;
};

void appendKnown(std::string &out, const std::vector<fact> &known)
{
    out += ",\"known\":{";
    bool first = true;
    for (const fact &item : known) {
        out += first ? "" : ",";
        out += detail::jsonText(item.name) + ":" + item.json;
        first = false;
    }
    out += "}";
}

std::string millisecondsText(core::wall_time at)
{
    return std::to_string(at.time_since_epoch().count());
}

void appendEvent(std::string &out, const event &value)
{
    out += "{\"at_ms\":" + millisecondsText(value.at);
    out += ",\"what\":" + detail::jsonText(value.what);
    out += ",\"why\":" + detail::jsonText(value.why);
    appendKnown(out, value.known);
    out += "}";
}

void appendChange(std::string &out, const change_record &value)
{
    out += "{\"at_ms\":" + millisecondsText(value.happened.at);
    out += ",\"subject\":" + detail::jsonText(value.subject);
    out += ",\"what\":" + detail::jsonText(value.happened.what);
    out += ",\"cause\":" + detail::jsonText(value.happened.why);
    appendKnown(out, value.happened.known);
    out += "}";
}

} // namespace

class recorder::impl
{
public:
    explicit impl(recorder_limits limits)
        : m_limits(limits)
    {
        m_limits.maxRequests = std::max<std::size_t>(m_limits.maxRequests, 1);
        m_limits.maxEventsPerRequest = std::max<std::size_t>(m_limits.maxEventsPerRequest, 1);
        m_limits.maxChanges = std::max<std::size_t>(m_limits.maxChanges, 1);
    }

    void addRequestEvent(std::string_view requestId, event value)
    {
        const std::lock_guard lock(m_mutex);
        request_record &record = recordOf(requestId);
        if (record.events.size() < m_limits.maxEventsPerRequest) {
            record.events.push_back(std::move(value));
            return;
        }
        record.events.back() = std::move(value);
        ++record.dropped;
    }

    void addChange(std::string_view subject, event value)
    {
        const std::lock_guard lock(m_mutex);
        if (m_changes.size() >= m_limits.maxChanges) {
            m_changes.pop_front();
        }
        m_changes.push_back({std::string(subject), std::move(value)});
    }

    [[nodiscard]] std::optional<std::string> requestJson(std::string_view requestId) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_requests.find(requestId);
        if (found == m_requests.end()) {
            return std::nullopt;
        }
        std::string out = "{\"request_id\":" + detail::jsonText(requestId);
        out += ",\"dropped_events\":" + std::to_string(found->second.dropped) + ",\"events\":[";
        for (const event &value : found->second.events) {
            out += &value == &found->second.events.front() ? "" : ",";
            appendEvent(out, value);
        }
        return out + "]}";
    }

    [[nodiscard]] std::string changesJson() const
    {
        const std::lock_guard lock(m_mutex);
        std::string out = "[";
        for (const change_record &value : m_changes) {
            out += &value == &m_changes.front() ? "" : ",";
            appendChange(out, value);
        }
        return out + "]";
    }

    [[nodiscard]] std::size_t requests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_requests.size();
    }

private:
    /// The record of a request, made when it is new; the oldest makes room.
    request_record &recordOf(std::string_view requestId)
    {
        const auto found = m_requests.find(requestId);
        if (found != m_requests.end()) {
            return found->second;
        }
        if (m_requests.size() >= m_limits.maxRequests) {
            m_requests.erase(m_order.front());
            m_order.pop_front();
        }
        const auto added = m_requests.emplace(requestId, request_record{}).first;
        m_order.push_back(added);
        return added->second;
    }

    using request_map = std::map<std::string, request_record, std::less<>>;

    recorder_limits m_limits;
    mutable std::mutex m_mutex;
    request_map m_requests;
    /// Oldest first.
    std::deque<request_map::iterator> m_order;
    std::deque<change_record> m_changes;
};

recorder::recorder(recorder_limits limits)
    : m_impl(std::make_unique<impl>(limits))
{
}

recorder::~recorder() = default;

void recorder::request(std::string_view requestId, core::wall_time at, std::string_view what, std::string_view why,
                       std::initializer_list<fact> known)
{
    m_impl->addRequestEvent(requestId, {at, std::string(what), std::string(why), known});
}

void recorder::change(core::wall_time at, std::string_view subject, std::string_view what, std::string_view cause,
                      std::initializer_list<fact> known)
{
    m_impl->addChange(subject, {at, std::string(what), std::string(cause), known});
}

std::optional<std::string> recorder::requestJson(std::string_view requestId) const
{
    return m_impl->requestJson(requestId);
}

std::string recorder::changesJson() const
{
    return m_impl->changesJson();
}

std::size_t recorder::requests() const
{
    return m_impl->requests();
}

} // namespace medlarrack::trace
