#include <medlarrack/adapter_cache/load_backoff.hpp>
#include <medlarrack/core/hash.hpp>

#include <algorithm>
#include <string>

namespace medlarrack::adapter_cache {
namespace {

/// Adapters whose failures are remembered at once.
constexpr std::size_t maxEntries = 1024;
/// Failures beyond this number don't lengthen the wait.
constexpr std::uint32_t maxDoublings = 16;
/// A wait lies between this many and 1024 parts of 1024.
constexpr std::uint64_t jitterParts = 512;

} // namespace

load_backoff::load_backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest, std::uint64_t seed)
    : m_first(first)
    , m_longest(longest)
    , m_seed(seed)
{
}

core::monotonic_time load_backoff::failed(const core::adapter_ref &adapter, core::monotonic_time now)
{
    makeRoom(now);
    entry &state = m_entries[adapter];
    const auto doublings = std::min(state.failures, maxDoublings);
    ++state.failures;
    const auto whole = std::min(m_longest, m_first * (std::int64_t{1} << doublings));
    const auto draw = core::hash64(adapter.toString() + '#' + std::to_string(state.failures), m_seed);
    const auto parts = static_cast<std::int64_t>(jitterParts + draw % jitterParts);
    state.until = now + std::chrono::duration_cast<std::chrono::nanoseconds>(whole) * parts / 1024;
    return state.until;
}

void load_backoff::succeeded(const core::adapter_ref &adapter)
{
    m_entries.erase(adapter);
}

std::optional<core::monotonic_time> load_backoff::until(const core::adapter_ref &adapter,
                                                        core::monotonic_time now) const
{
    const auto found = m_entries.find(adapter);
    if (found == m_entries.end() || found->second.until <= now) {
        return std::nullopt;
    }
    return found->second.until;
}

void load_backoff::clear()
{
    m_entries.clear();
}

void load_backoff::makeRoom(core::monotonic_time now)
{
    if (m_entries.size() < maxEntries) {
        return;
    }
    std::erase_if(m_entries, [now](const auto &item) {
        return item.second.until <= now;
    });
    if (m_entries.size() >= maxEntries) {
        m_entries.erase(m_entries.begin());
    }
}

} // namespace medlarrack::adapter_cache
