#include <medlarrack/http1/answer_pace.hpp>

#include <algorithm>

namespace medlarrack::http1 {

answer_pace::answer_pace(const answer_limits &limits, std::chrono::steady_clock::time_point requestedAt)
    : m_limits(limits)
    , m_requestedAt(requestedAt)
    , m_firstByteAt(requestedAt)
    , m_lastByteAt(requestedAt)
{
}

void answer_pace::onBytes(std::size_t count, std::chrono::steady_clock::time_point now)
{
    if (m_bytes == 0) {
        m_firstByteAt = now;
    }
    m_lastByteAt = now;
    m_bytes += count;
}

std::chrono::steady_clock::time_point answer_pace::deadline() const
{
    const auto firstByteDue = m_requestedAt + m_limits.firstByte;
    if (m_bytes == 0) {
        return firstByteDue;
    }
    const std::chrono::duration<double> slowest(static_cast<double>(m_bytes) / m_limits.minBytesPerSecond);
    return std::min(m_lastByteAt + m_limits.silence,
                    firstByteDue + std::chrono::duration_cast<std::chrono::steady_clock::duration>(slowest));
}

std::chrono::steady_clock::time_point answer_pace::requestedAt() const
{
    return m_requestedAt;
}

std::chrono::nanoseconds answer_pace::transferTime() const
{
    return m_lastByteAt - m_firstByteAt;
}

} // namespace medlarrack::http1
