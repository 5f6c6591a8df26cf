#include "distribution.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace medlarrack::load {

namespace {

constexpr double firstBoundMs = 0.1;
constexpr double growth = 1.5;

} // namespace

void distribution::add(double milliseconds)
{
    m_values.push_back(static_cast<float>(milliseconds));
    m_sorted = false;
}

std::size_t distribution::count() const
{
    return m_values.size();
}

double distribution::mean() const
{
    if (m_values.empty()) {
        return 0;
    }
    return std::accumulate(m_values.begin(), m_values.end(), 0.0) / static_cast<double>(m_values.size());
}

double distribution::largest() const
{
    return m_values.empty() ? 0 : static_cast<double>(*std::max_element(m_values.begin(), m_values.end()));
}

double distribution::percentile(double share) const
{
    if (m_values.empty()) {
        return 0;
    }
    sort();
    const double rank = std::ceil(share * static_cast<double>(m_values.size()));
    const std::size_t index = std::max<std::size_t>(1, static_cast<std::size_t>(rank)) - 1;
    return static_cast<double>(m_values[std::min(index, m_values.size() - 1)]);
}

double distribution::shareAbove(double milliseconds) const
{
    if (m_values.empty()) {
        return 0;
    }
    const auto above = std::count_if(m_values.begin(), m_values.end(), [&](float value) {
        return static_cast<double>(value) > milliseconds;
    });
    return static_cast<double>(above) / static_cast<double>(m_values.size());
}

std::vector<distribution::bucket> distribution::histogram() const
{
    std::vector<bucket> buckets;
    sort();
    auto from = m_values.begin();
    for (double bound = firstBoundMs; from != m_values.end(); bound *= growth) {
        const auto to = std::upper_bound(from, m_values.end(), static_cast<float>(bound));
        const auto inBucket = static_cast<std::uint64_t>(to - from);
        if (inBucket > 0 || !buckets.empty()) {
            buckets.push_back({bound, inBucket});
        }
        from = to;
    }
    return buckets;
}

void distribution::sort() const
{
    if (!m_sorted) {
        std::sort(m_values.begin(), m_values.end());
        m_sorted = true;
    }
}

} // namespace medlarrack::load
