#pragma once

#include <medlarrack/peer/messages.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace medlarrack::entry {

/// Assembles a response body from the chunks of several attempts without repeating or skipping a byte.
class response_assembler
{
public:
    /// Announces that the next chunk is the first one of a new attempt.
    void startAttempt();
    /// Discards everything received; the next attempt starts at offset 0.
    void reset();
    /// Returns the part of a chunk that wasn't received before, which may be empty, or nothing when the chunk leaves a
    /// gap or isn't the next one of its attempt: the response is inconsistent then.
    [[nodiscard]] std::optional<std::string_view> append(const peer::run_chunk &chunk);
    /// Whether the attempt's chunks reach the end of the body and no byte received earlier lies beyond it.
    [[nodiscard]] bool isComplete(std::uint64_t totalBytes) const;
    /// Length of the body received so far.
    [[nodiscard]] std::uint64_t receivedBytes() const;

private:
    std::uint64_t m_receivedBytes = 0;
    /// Offset of the attempt's next chunk; nothing before its first one.
    std::optional<std::uint64_t> m_nextOffset;
};

} // namespace medlarrack::entry
