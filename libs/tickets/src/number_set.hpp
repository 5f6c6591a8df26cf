#pragma once

#include <cstdint>
#include <map>

namespace medlarrack::tickets::detail {

/// A set of ticket numbers, stored as disjoint, non-adjacent closed intervals.
class number_set
{
public:
    /// Adds all numbers from first to last. Returns whether any of them was not in the set.
    bool add(std::uint64_t first, std::uint64_t last);
    [[nodiscard]] bool contains(std::uint64_t number) const;
    /// Largest n such that 1 to n are all in the set; 0 when 1 is not.
    [[nodiscard]] std::uint64_t contiguous() const;

private:
    /// Maps the first number of each interval to its last.
    std::map<std::uint64_t, std::uint64_t> m_lastByFirst;
};

} // namespace medlarrack::tickets::detail
