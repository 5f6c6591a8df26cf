#include <medlarrack/core/event_stream.hpp>
#include <medlarrack/gateway/event_splitter.hpp>

#include <algorithm>

namespace medlarrack::gateway {

namespace {

constexpr std::string_view idField = "id:";
constexpr std::string_view dataField = "data:";

/// Whether an event has an id or data; others are comments, which keep a connection busy and carry nothing.
bool hasContent(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t lineEnd = std::min(event.find('\n'), event.size());
        const std::string_view line = event.substr(0, lineEnd);
        if (line.starts_with(idField) || line.starts_with(dataField)) {
            return true;
        }
        event.remove_prefix(std::min(lineEnd + 1, event.size()));
    }
    return false;
}

/// Value of the id field of an event; empty if it has none.
std::string_view idOf(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t lineEnd = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, lineEnd);
        event.remove_prefix(std::min(lineEnd + 1, event.size()));
        if (!line.starts_with(idField)) {
            continue;
        }
        line.remove_prefix(idField.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        return line;
    }
    return {};
}

} // namespace

std::string event_splitter::takeCompleteEvents(std::string &buffer)
{
    std::size_t completeEnd = 0;
    for (std::size_t end = core::eventEnd(buffer, 0); end != std::string::npos;
         end = core::eventEnd(buffer, completeEnd)) {
        const std::string_view event = std::string_view(buffer).substr(completeEnd, end - completeEnd);
        if (const std::string_view id = idOf(event); !id.empty()) {
            m_lastEventId = id;
        }
        m_eventCount += hasContent(event) ? 1 : 0;
        completeEnd = end;
    }
    std::string events = buffer.substr(0, completeEnd);
    buffer.erase(0, completeEnd);
    return events;
}

const std::string &event_splitter::lastEventId() const
{
    return m_lastEventId;
}

std::size_t event_splitter::eventCount() const
{
    return m_eventCount;
}

} // namespace medlarrack::gateway
