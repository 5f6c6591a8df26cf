#include "prefix_cache.hpp"

#include <medlarrack/core/hash.hpp>

namespace medlarrack::standins {

namespace {

constexpr std::size_t maxEvents = 4096;

} // namespace

prefix_cache::prefix_cache(std::size_t maxBlocks)
    : m_maxBlocks(maxBlocks)
{
}

std::size_t prefix_cache::admit(std::string_view model, std::string_view prompt, core::monotonic_time now)
{
    std::size_t missing = 0;
    std::uint64_t prefix = core::hash64(model);
    for (; prompt.size() >= blockBytes; prompt.remove_prefix(blockBytes)) {
        prefix = core::hash64(prompt.substr(0, blockBytes), prefix);
        const auto found = m_blocks.find(prefix);
        if (found != m_blocks.end()) {
            m_byUse.splice(m_byUse.begin(), m_byUse, found->second);
            continue;
        }
        ++missing;
        m_byUse.push_front(prefix);
        m_blocks.emplace(prefix, m_byUse.begin());
        note(true, prefix, now);
        if (m_blocks.size() > m_maxBlocks) {
            evictOldest(now);
        }
    }
    return missing;
}

void prefix_cache::setDropEvery(int n)
{
    m_dropEvery = n;
}

void prefix_cache::evictOldest(core::monotonic_time now)
{
    const std::uint64_t prefix = m_byUse.back();
    m_byUse.pop_back();
    m_blocks.erase(prefix);
    note(false, prefix, now);
}

void prefix_cache::note(bool stored, std::uint64_t prefix, core::monotonic_time now)
{
    ++m_sequence;
    if (m_dropEvery > 0 && m_sequence % m_dropEvery == 0) {
        return;
    }
    m_events.push_back({m_sequence, stored, prefix, now});
    if (m_events.size() > maxEvents) {
        m_events.pop_front();
    }
}

std::vector<cache_event> prefix_cache::events(long long after, std::chrono::milliseconds lag,
                                              core::monotonic_time now) const
{
    std::vector<cache_event> shown;
    for (const auto &event : m_events) {
        if (event.sequence > after && event.at <= now - lag) {
            shown.push_back(event);
        }
    }
    return shown;
}

long long prefix_cache::newest(std::chrono::milliseconds lag, core::monotonic_time now) const
{
    long long newest = 0;
    for (const auto &event : m_events) {
        if (event.at <= now - lag) {
            newest = event.sequence;
        }
    }
    return newest;
}

} // namespace medlarrack::standins
