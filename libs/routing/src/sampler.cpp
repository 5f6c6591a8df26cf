#include "sampler.hpp"

#include <algorithm>

namespace medlarrack::routing::detail {

sampler::sampler(std::uint64_t seed)
    : m_state(seed)
{
}

std::span<const target_index> sampler::sample(std::span<const target_index> candidates)
{
    const std::size_t count = candidates.size();
    if (count == 0) {
        return {};
    }
    if (count <= maxFullScanSize) {
        // The first of several equally loaded targets is chosen; the rotation distributes requests among them.
        const std::size_t offset = next() % count;
        std::rotate_copy(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(offset), candidates.end(),
                         m_sample.begin());
        return {m_sample.data(), count};
    }
    for (std::size_t position = 0; position < sampleSize; ++position) {
        m_sample[position] = candidates[next() % count];
    }
    return {m_sample.data(), sampleSize};
}

std::span<const target_index> sampler::sampleByKey(std::span<const target_index> candidates, std::uint64_t key)
{
    const std::size_t count = candidates.size();
    if (count <= maxFullScanSize) {
        return candidates;
    }
    for (std::size_t position = 0; position < sampleSize; ++position) {
        m_sample[position] = candidates[splitMix(key) % count];
    }
    return {m_sample.data(), sampleSize};
}

std::uint64_t sampler::next()
{
    return splitMix(m_state);
}

std::uint64_t splitMix(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t value = state;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

bool isExcluded(const routing_request &request, target_index index)
{
    return std::find(request.excluded.begin(), request.excluded.end(), index) != request.excluded.end();
}

bool isPreferred(const target_table &targets, target_index first, target_index second)
{
    const target &firstTarget = targets.at(first);
    const target &secondTarget = targets.at(second);
    if (firstTarget.load() != secondTarget.load()) {
        return firstTarget.load() < secondTarget.load();
    }
    return firstTarget.local && !secondTarget.local;
}

} // namespace medlarrack::routing::detail
