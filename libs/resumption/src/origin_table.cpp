#include <medlarrack/resumption/origin_table.hpp>

#include <utility>

namespace medlarrack::resumption {

origin_table::origin_table(const origin_limits &limits)
    : m_limits(limits)
{
}

void origin_table::add(stream_key stream, stream_origin origin, core::monotonic_time now)
{
    const stream_origin first = find(stream, now).value_or(origin);
    rotateIfDue(now);
    m_newer.insert_or_assign(stream, first == uncertainOrigin ? origin : first);
}

std::optional<stream_origin> origin_table::find(stream_key stream, core::monotonic_time now) const
{
    const auto age = now - m_newerSince;
    if (const auto found = m_newer.find(stream); found != m_newer.end() && age < 2 * m_limits.lifetime) {
        return found->second;
    }
    if (const auto found = m_older.find(stream); found != m_older.end() && age < m_limits.lifetime) {
        return found->second;
    }
    return std::nullopt;
}

std::size_t origin_table::size() const
{
    return m_newer.size() + m_older.size();
}

void origin_table::rotateIfDue(core::monotonic_time now)
{
    const auto age = now - m_newerSince;
    if (age < m_limits.lifetime && m_newer.size() < m_limits.maxStreams / 2) {
        return;
    }
    m_older = age < 2 * m_limits.lifetime ? std::exchange(m_newer, {}) : generation();
    m_newer.clear();
    m_newerSince = now;
}

} // namespace medlarrack::resumption
