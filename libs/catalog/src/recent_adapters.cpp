#include <medlarrack/catalog/recent_adapters.hpp>

#include <algorithm>
#include <utility>

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

std::vector<std::string> recent_adapters::inMemory() const
{
    std::vector<std::pair<std::uint64_t, std::string_view>> bySequence;
    for (const auto &[adapter, sequence] : m_lastAdded) {
        bySequence.emplace_back(sequence, adapter);
    }
    std::sort(bySequence.begin(), bySequence.end());
    const std::size_t kept = std::min(m_capacity, bySequence.size());
    std::vector<std::string> adapters;
    for (auto it = bySequence.end() - static_cast<std::ptrdiff_t>(kept); it != bySequence.end(); ++it) {
        adapters.emplace_back(it->second);
    }
    return adapters;
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
