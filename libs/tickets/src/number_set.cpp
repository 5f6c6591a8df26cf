#include "number_set.hpp"

#include <algorithm>
#include <iterator>

namespace medlarrack::tickets::detail {

bool number_set::add(std::uint64_t first, std::uint64_t last)
{
    if (first > last) {
        return false;
    }
    auto next = m_lastByFirst.upper_bound(first);
    if (next != m_lastByFirst.begin()) {
        const auto previous = std::prev(next);
        if (previous->second >= last) {
            return false;
        }
        if (previous->second + 1 >= first) {
            first = previous->first;
            next = m_lastByFirst.erase(previous);
        }
    }
    while (next != m_lastByFirst.end() && next->first <= last + 1) {
        last = std::max(last, next->second);
        next = m_lastByFirst.erase(next);
    }
    m_lastByFirst.emplace_hint(next, first, last);
    return true;
}

bool number_set::contains(std::uint64_t number) const
{
    const auto next = m_lastByFirst.upper_bound(number);
    return next != m_lastByFirst.begin() && std::prev(next)->second >= number;
}

std::uint64_t number_set::contiguous() const
{
    const auto first = m_lastByFirst.begin();
    return first != m_lastByFirst.end() && first->first == 1 ? first->second : 0;
}

} // namespace medlarrack::tickets::detail
