#include <medlarrack/gateway/store_era.hpp>

#include <utility>

namespace medlarrack::gateway {

namespace {

/// After this time in which all answers are of an earlier era, the store itself has gone back to it, as one that was
/// set up anew does. Late answers of an earlier era arrive within the time-out of a call.
constexpr std::chrono::seconds maxOutdatedTime{10};

} // namespace

store_era::verdict store_era::observe(std::optional<std::uint64_t> era, core::monotonic_time now)
{
    if (!era) {
        m_readWithoutEra = m_readWithoutEra || !m_era;
        return verdict::current;
    }
    if (m_era && *era < *m_era && now - m_confirmedAt < maxOutdatedTime) {
        return verdict::outdated;
    }
    m_confirmedAt = now;
    const std::optional<std::uint64_t> before = std::exchange(m_era, era);
    const bool isFirst = !before && !m_readWithoutEra;
    return isFirst || before == era ? verdict::current : verdict::changed;
}

std::optional<std::uint64_t> store_era::value() const
{
    return m_era;
}

} // namespace medlarrack::gateway
