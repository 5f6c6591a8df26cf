#include <medlarrack/core/event_stream.hpp>
#include <medlarrack/gateway/event_splitter.hpp>

#include <algorithm>

namespace medlarrack::gateway {

namespace {

constexpr std::string_view idField = "id:";

/// The value of an event's id field; empty without one.
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

std::string event_splitter::takeCompleteEvents(std::string &bytes)
{
    std::size_t whole = 0;
    for (std::size_t end = core::eventEnd(bytes, 0); end != std::string::npos; end = core::eventEnd(bytes, whole)) {
        if (const std::string_view id = idOf(std::string_view(bytes).substr(whole, end - whole)); !id.empty()) {
            m_lastEventId = id;
        }
        ++m_eventCount;
        whole = end;
    }
    std::string events = bytes.substr(0, whole);
    bytes.erase(0, whole);
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
