#include <medlarrack/gateway/recent_adapters.hpp>

#include <algorithm>

namespace medlarrack::gateway {

namespace {

/// Engines with 12 MB adapters cache at least 90 of them in memory besides the loaded ones.
constexpr std::size_t maxAdapters = 90;

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
    return m_lastAdded.contains(adapter);
}

std::size_t recent_adapters::size() const
{
    return m_lastAdded.size();
}

} // namespace medlarrack::gateway
