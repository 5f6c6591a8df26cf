#pragma once

#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// Cuts a stream of server-sent events behind whole events, so that a stream that breaks inside one can go on elsewhere
/// without a piece that is missing or doubled.
class event_splitter
{
public:
    /// Takes all whole events off the front of the bytes; what begins an event stays.
    [[nodiscard]] std::string takeCompleteEvents(std::string &bytes);
    /// Id of the last whole event; empty before the first one.
    [[nodiscard]] const std::string &lastEventId() const;
    /// Whole events taken.
    [[nodiscard]] std::size_t eventCount() const;

private:
    std::string m_lastEventId;
    std::size_t m_eventCount = 0;
};

} // namespace medlarrack::gateway
