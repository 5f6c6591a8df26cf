#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::engine::detail {

/// Splits a stream of server-sent events into whole events, keeping their bytes.
class sse_events
{
public:
    /// Adds bytes. False when an event is longer than the bound.
    [[nodiscard]] bool feed(std::string_view bytes, std::size_t maxEventBytes);
    /// The next whole event with its closing empty line; valid until the next feed().
    [[nodiscard]] std::optional<std::string_view> next();
    /// Whether bytes of an unfinished event are left.
    [[nodiscard]] bool hasRest() const;

private:
    std::string m_buffer;
    std::size_t m_taken = 0;
};

/// The joined data lines of an event; empty for a comment.
[[nodiscard]] std::string eventData(std::string_view event);

} // namespace medlarrack::engine::detail
