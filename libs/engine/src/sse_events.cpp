#include "sse_events.hpp"

#include <medlarrack/core/event_stream.hpp>

#include <algorithm>

namespace medlarrack::engine::detail {
namespace {

constexpr std::string_view dataField = "data:";

} // namespace

bool sse_events::feed(std::string_view bytes, std::size_t maxEventBytes)
{
    m_buffer.erase(0, m_taken);
    m_taken = 0;
    m_buffer.append(bytes);
    const std::size_t end = core::eventEnd(m_buffer, 0);
    return std::min(end, m_buffer.size()) <= maxEventBytes;
}

std::optional<std::string_view> sse_events::next()
{
    const std::size_t end = core::eventEnd(m_buffer, m_taken);
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    const auto event = std::string_view(m_buffer).substr(m_taken, end - m_taken);
    m_taken = end;
    return event;
}

bool sse_events::hasRest() const
{
    return m_taken < m_buffer.size();
}

std::string eventData(std::string_view event)
{
    std::string data;
    bool first = true;
    while (!event.empty()) {
        const std::size_t lineEnd = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, lineEnd);
        event.remove_prefix(std::min(lineEnd + 1, event.size()));
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (!line.starts_with(dataField)) {
            continue;
        }
        line.remove_prefix(dataField.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (!first) {
            data += '\n';
        }
        first = false;
        data += line;
    }
    return data;
}

} // namespace medlarrack::engine::detail
