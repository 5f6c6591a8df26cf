#pragma once

#include <cstdint>
#include <map>

namespace medlarrack::tickets::detail {

/// A set of ticket numbers, kept as disjoint closed intervals that don't touch.
class number_set
{
public:
    /// Adds all numbers from first to last. Returns whether any of them is new.
    bool add(std::uint64_t first, std::uint64_t last);
    [[nodiscard]] bool contains(std::uint64_t number) const;
    /// Largest n such that 1 to n are all in the set; 0 without 1.
    [[nodiscard]] std::uint64_t contiguous() const;

private:
    /// Last number of each interval by its first.
    std::map<std::uint64_t, std::uint64_t> m_lastByFirst;
};

} // namespace medlarrack::tickets::detail
