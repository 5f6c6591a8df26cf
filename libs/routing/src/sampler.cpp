#include "sampler.hpp"

#include <algorithm>

namespace medlarrack::routing::detail {

sampler::sampler(std::uint64_t seed)
    : m_state(seed)
{
}

std::span<const target_index> sampler::draw(std::span<const target_index> candidates)
{
    const std::size_t count = candidates.size();
    if (count == 0) {
        return {};
    }
    if (count <= wholeGroup) {
        // Turned, so that equally loaded targets take turns.
        const std::size_t turn = next() % count;
        std::rotate_copy(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(turn), candidates.end(),
                         m_drawn.begin());
        return {m_drawn.data(), count};
    }
    for (std::size_t place = 0; place < drawn; ++place) {
        m_drawn[place] = candidates[next() % count];
    }
    return {m_drawn.data(), drawn};
}

std::span<const target_index> sampler::drawByKey(std::span<const target_index> candidates, std::uint64_t key)
{
    const std::size_t count = candidates.size();
    if (count <= wholeGroup) {
        return candidates;
    }
    for (std::size_t place = 0; place < drawn; ++place) {
        m_drawn[place] = candidates[splitMix(key) % count];
    }
    return {m_drawn.data(), drawn};
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

bool isBetter(const target_table &targets, target_index first, target_index second)
{
    const target &one = targets.at(first);
    const target &other = targets.at(second);
    if (one.load() != other.load()) {
        return one.load() < other.load();
    }
    return one.local && !other.local;
}

} // namespace medlarrack::routing::detail
