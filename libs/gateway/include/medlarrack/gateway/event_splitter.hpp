#pragma once

#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// Splits a stream of server-sent events at event boundaries. Only complete events are relayed, so that a stream that
/// breaks inside an event can be resumed at another replica without lost or repeated bytes.
class event_splitter
{
public:
    /// Removes all complete events from the start of the buffer and returns them; a partial event stays.
    [[nodiscard]] std::string takeCompleteEvents(std::string &buffer);
    /// Id of the last complete event that has one; empty before the first.
    [[nodiscard]] const std::string &lastEventId() const;
    /// Number of complete events so far that have an id or data.
    [[nodiscard]] std::size_t eventCount() const;

private:
    std::string m_lastEventId;
    std::size_t m_eventCount = 0;
};

} // namespace medlarrack::gateway
