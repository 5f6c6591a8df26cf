#include "response_assembler.hpp"

#include <algorithm>

namespace medlarrack::entry {

void answer_assembler::beginAttempt()
{
    m_next.reset();
}

void answer_assembler::restart()
{
    m_taken = 0;
    m_next.reset();
}

std::optional<std::string_view> answer_assembler::take(const peer::run_chunk &piece)
{
    // The first piece of an attempt may start anywhere in what was taken before.
    const bool follows = m_next ? piece.offset == *m_next : piece.offset <= m_taken;
    if (!follows) {
        return std::nullopt;
    }
    m_next = piece.offset + piece.data.size();
    const std::uint64_t known = std::min<std::uint64_t>(m_taken - std::min(m_taken, piece.offset), piece.data.size());
    m_taken = std::max(m_taken, *m_next);
    return std::string_view(piece.data).substr(known);
}

bool answer_assembler::isWhole(std::uint64_t totalBytes) const
{
    if (m_taken != totalBytes) {
        return false;
    }
    // A resumed attempt may have nothing left to send.
    return !m_next || *m_next == totalBytes;
}

std::uint64_t answer_assembler::taken() const
{
    return m_taken;
}

} // namespace medlarrack::entry
