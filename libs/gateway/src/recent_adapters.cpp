#include <medlarrack/gateway/recent_adapters.hpp>

#include <algorithm>

namespace medlarrack::gateway {

namespace {

/// Engines of 12 MB adapters keep 90 or more in memory beside those that they hold.
constexpr std::size_t maxAdapters = 90;

} // namespace

void recent_adapters::add(std::string_view adapter)
{
    m_turns.insert_or_assign(std::string(adapter), ++m_turn);
    if (m_turns.size() > maxAdapters) {
        m_turns.erase(std::min_element(m_turns.begin(), m_turns.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        }));
    }
}

bool recent_adapters::contains(std::string_view adapter) const
{
    return m_turns.contains(adapter);
}

std::size_t recent_adapters::size() const
{
    return m_turns.size();
}

} // namespace medlarrack::gateway
