#include <medlarrack/catalog/recent_adapters.hpp>

#include <algorithm>

namespace medlarrack::catalog {

namespace {

/// Adapters that are remembered, to learn of a larger capacity than the expected one.
constexpr std::size_t maxAdapters = 512;
constexpr std::size_t minCapacity = 8;

} // namespace

void recent_adapters::add(std::string_view adapter)
{
    m_lastAdded.insert_or_assign(std::string(adapter), ++m_sequence);
    if (m_lastAdded.size() > maxAdapters) {
        m_lastAdded.erase(
            std::min_element(m_lastAdded.begin(), m_lastAdded.end(), [](const auto &left, const auto &right) {
                return left.second < right.second;
            }));
    }
}

bool recent_adapters::contains(std::string_view adapter) const
{
    const auto known = rank(adapter);
    return known && *known < m_capacity;
}

std::optional<std::size_t> recent_adapters::rank(std::string_view adapter) const
{
    const auto found = m_lastAdded.find(adapter);
    if (found == m_lastAdded.end()) {
        return std::nullopt;
    }
    // An adapter that was added few additions ago has a low rank, without counting.
    if (const std::uint64_t additions = m_sequence - found->second; additions < minCapacity) {
        return additions;
    }
    return static_cast<std::size_t>(std::count_if(m_lastAdded.begin(), m_lastAdded.end(), [&](const auto &entry) {
        return entry.second > found->second;
    }));
}

void recent_adapters::recordLoad(std::string_view adapter, bool fromMemory)
{
    const auto known = rank(adapter);
    if (!known) {
        return;
    }
    if (fromMemory) {
        m_capacity = std::max(m_capacity, *known + 1);
    } else if (*known < m_capacity) {
        // Halfway only: the engine may have dropped this one for another reason.
        m_capacity = std::max(minCapacity, (m_capacity + *known) / 2);
    }
}

std::size_t recent_adapters::capacity() const
{
    return m_capacity;
}

void recent_adapters::setCapacity(std::size_t capacity)
{
    m_capacity = std::clamp(capacity, minCapacity, maxAdapters);
}

} // namespace medlarrack::catalog
