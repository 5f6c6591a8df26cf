#include "response_assembler.hpp"

#include <algorithm>

namespace medlarrack::entry {

void response_assembler::startAttempt()
{
    m_nextOffset.reset();
}

void response_assembler::reset()
{
    m_receivedBytes = 0;
    m_nextOffset.reset();
}

std::optional<std::string_view> response_assembler::append(const peer::run_chunk &chunk)
{
    // The first chunk of an attempt may start anywhere in the part received by earlier attempts.
    const bool isContiguous = m_nextOffset ? chunk.offset == *m_nextOffset : chunk.offset <= m_receivedBytes;
    if (!isContiguous) {
        return std::nullopt;
    }
    m_nextOffset = chunk.offset + chunk.data.size();
    const std::uint64_t alreadyReceived =
        std::min<std::uint64_t>(m_receivedBytes - std::min(m_receivedBytes, chunk.offset), chunk.data.size());
    m_receivedBytes = std::max(m_receivedBytes, *m_nextOffset);
    return std::string_view(chunk.data).substr(alreadyReceived);
}

bool response_assembler::isComplete(std::uint64_t totalBytes) const
{
    if (m_receivedBytes != totalBytes) {
        return false;
    }
    // A resumed attempt sends no chunk when nothing is left.
    return !m_nextOffset || *m_nextOffset == totalBytes;
}

std::uint64_t response_assembler::receivedBytes() const
{
    return m_receivedBytes;
}

} // namespace medlarrack::entry
