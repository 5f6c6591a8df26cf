#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace medlarrack::load {

/// Durations in milliseconds, kept whole for exact percentiles.
class distribution
{
public:
    /// One bucket: values up to and including the bound, and above the bound before.
    struct bucket
    {
        double upToMs;
        std::uint64_t count;
    };

    void add(double milliseconds);
    [[nodiscard]] std::size_t count() const;
    [[nodiscard]] double mean() const;
    [[nodiscard]] double largest() const;
    /// The smallest value that at least this share of all values doesn't exceed; 0 without values.
    [[nodiscard]] double percentile(double share) const;
    /// Share of values above a bound.
    [[nodiscard]] double shareAbove(double milliseconds) const;
    /// Buckets whose bounds grow by half; empty ones at both ends are left out.
    [[nodiscard]] std::vector<bucket> histogram() const;

private:
    void sort() const;

    mutable std::vector<float> m_values;
    mutable bool m_sorted = true;
};

} // namespace medlarrack::load
