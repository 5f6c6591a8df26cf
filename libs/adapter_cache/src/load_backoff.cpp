#include <medlarrack/adapter_cache/load_backoff.hpp>
#include <medlarrack/core/hash.hpp>

#include <algorithm>
#include <string>

namespace medlarrack::adapter_cache {
namespace {

/// Limit of adapters with stored failures.
constexpr std::size_t maxEntries = 1024;
/// Failures beyond this number don't increase the delay.
constexpr std::uint32_t maxDoublings = 16;
/// The delay is multiplied by a factor between this and 1024, divided by 1024.
constexpr std::uint64_t minJitterFactor = 512;

} // namespace

load_backoff::load_backoff(std::chrono::milliseconds initial, std::chrono::milliseconds maximum, std::uint64_t seed)
    : m_initial(initial)
    , m_maximum(maximum)
    , m_seed(seed)
{
}

core::monotonic_time load_backoff::recordFailure(const core::adapter_ref &adapter, core::monotonic_time now)
{
    makeRoom(now);
    entry &state = m_entries[adapter];
    const auto doublings = std::min(state.failures, maxDoublings);
    ++state.failures;
    const auto delay = std::min(m_maximum, m_initial * (std::int64_t{1} << doublings));
    const auto hash = core::hash64(adapter.toString() + '#' + std::to_string(state.failures), m_seed);
    const auto factor = static_cast<std::int64_t>(minJitterFactor + hash % minJitterFactor);
    state.retryTime = now + std::chrono::duration_cast<std::chrono::nanoseconds>(delay) * factor / 1024;
    return state.retryTime;
}

void load_backoff::recordSuccess(const core::adapter_ref &adapter)
{
    m_entries.erase(adapter);
}

std::optional<core::monotonic_time> load_backoff::retryTime(const core::adapter_ref &adapter,
                                                            core::monotonic_time now) const
{
    const auto found = m_entries.find(adapter);
    if (found == m_entries.end() || found->second.retryTime <= now) {
        return std::nullopt;
    }
    return found->second.retryTime;
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
        return item.second.retryTime <= now;
    });
    if (m_entries.size() >= maxEntries) {
        m_entries.erase(m_entries.begin());
    }
}

} // namespace medlarrack::adapter_cache
