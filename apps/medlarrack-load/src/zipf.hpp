#pragma once

#include <cstddef>
#include <random>
#include <vector>

namespace medlarrack::load {

/// Draws ranks from 0 with probability proportional to 1 / (rank + 1)^exponent.
class zipf
{
public:
    zipf(std::size_t count, double exponent);

    [[nodiscard]] std::size_t draw(std::mt19937_64 &random) const;

private:
    std::vector<double> m_cumulated;
};

/// A number from 0 up to but without 1; the same on every platform for one state of the generator.
[[nodiscard]] double uniform(std::mt19937_64 &random);

} // namespace medlarrack::load
