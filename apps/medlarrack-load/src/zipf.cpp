#include "zipf.hpp"

#include <algorithm>
#include <cmath>

namespace medlarrack::load {

zipf::zipf(std::size_t count, double exponent)
{
    m_cumulated.reserve(count);
    double sum = 0;
    for (std::size_t rank = 0; rank < count; ++rank) {
        sum += 1.0 / std::pow(static_cast<double>(rank + 1), exponent);
        m_cumulated.push_back(sum);
    }
}

std::size_t zipf::draw(std::mt19937_64 &random) const
{
    const double point = uniform(random) * m_cumulated.back();
    const auto found = std::upper_bound(m_cumulated.begin(), m_cumulated.end(), point);
    return std::min(static_cast<std::size_t>(found - m_cumulated.begin()), m_cumulated.size() - 1);
}

double uniform(std::mt19937_64 &random)
{
    constexpr unsigned mantissaBits = 53;
    return static_cast<double>(random() >> (64U - mantissaBits)) / static_cast<double>(1ULL << mantissaBits);
}

} // namespace medlarrack::load
