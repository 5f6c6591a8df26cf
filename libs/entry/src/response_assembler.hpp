#pragma once

#include <medlarrack/peer/messages.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace medlarrack::entry {

/// Puts the pieces of an answer together over several attempts, so that no byte of it is repeated or skipped.
class answer_assembler
{
public:
    /// The next piece is the first one of a new attempt.
    void beginAttempt();
    /// Forgets everything taken; the next attempt starts from the beginning.
    void restart();
    /// The part of a piece that is new to the caller, maybe empty. Nothing when the piece leaves a gap or isn't the
    /// next one of its attempt: the answer is broken then.
    [[nodiscard]] std::optional<std::string_view> take(const peer::run_chunk &piece);
    /// Whether the attempt's pieces reach up to its end, and no byte taken before lies beyond.
    [[nodiscard]] bool isWhole(std::uint64_t totalBytes) const;
    /// Bytes that the caller has, or will be given.
    [[nodiscard]] std::uint64_t taken() const;

private:
    std::uint64_t m_taken = 0;
    /// Offset of the attempt's next piece; nothing before its first one.
    std::optional<std::uint64_t> m_next;
};

} // namespace medlarrack::entry
