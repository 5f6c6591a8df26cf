#include <medlarrack/gateway/own_load.hpp>

#include <algorithm>

namespace medlarrack::gateway {

namespace {

using std::chrono::milliseconds;

/// Delay from which a tick is late. A process with 0.068 of a core that has used it up waits up to 93 ms of each 100 ms
/// for its next share, also when it can handle its load.
constexpr milliseconds lateTick{200};
/// Ticks in a row that must be late: 0.7 s with their delays. A pause of the process makes one tick late.
constexpr std::uint32_t lateTicksToShed = 3;
/// Increase of the shed share in each second of lateness; a load of twice the capacity is shed within a second.
constexpr double shedShareRise = 0.5;
/// Its decrease in each second without: slower, so that it settles.
constexpr double shedShareFall = 0.15;
/// Late ticks of a process that uses less of its processor share than this have another cause than its own load.
constexpr double minBusyShare = 0.25;
/// Interval for measuring the use of processor and link. Shorter ones would show bursts.
constexpr milliseconds useWindow{500};
/// Share of the link and of the memory from which callers are asked to connect elsewhere.
constexpr double highLinkUse = 0.9;
constexpr double highMemoryUse = 0.85;
/// While less than this part of the places for connections is free, each response closes its connection. A kept one was
/// told that it can be used again and isn't closed before, so the free part is for those that come meanwhile.
constexpr std::size_t freePlacesDivisor = 4;
/// Responses for each one that closes its connection: callers leave within seconds, but not all at once.
constexpr std::uint32_t responsesPerClose = 8;
/// Fraction by which the counts of recent requests decay with each request.
constexpr double decayPerRequest = 0.005;
constexpr milliseconds minRetryAfter{150};
constexpr std::uint32_t retryAfterSpreadMs = 350;

} // namespace

own_load::own_load(const own_limits &limits)
    : m_limits(limits)
{
}

void own_load::setLimits(const own_limits &limits)
{
    m_limits = limits;
}

void own_load::recordTick(core::monotonic_time now, std::chrono::nanoseconds interval, const own_use &use)
{
    if (!m_lastTick) {
        m_lastTick = now;
        m_windowStart = now;
        m_windowUse = use;
        return;
    }
    const std::chrono::nanoseconds elapsed = now - *m_lastTick;
    m_lastTick = now;
    m_lag = std::max<std::chrono::nanoseconds>(elapsed - interval, milliseconds(0));
    m_lateTicks = m_lag >= lateTick ? m_lateTicks + 1 : 0;
    updateUse(now, use);
    adjustShedShare(elapsed);
}

void own_load::updateUse(core::monotonic_time now, const own_use &use)
{
    m_memoryUse =
        m_limits.memoryBytes > 0 ? static_cast<double>(use.memoryBytes) / static_cast<double>(m_limits.memoryBytes) : 0;
    const double seconds = std::chrono::duration<double>(now - m_windowStart).count();
    if (now - m_windowStart < useWindow) {
        return;
    }
    const double cpuSeconds = std::chrono::duration<double>(use.cpuTime - m_windowUse.cpuTime).count();
    m_cpuUse = m_limits.cpuShare ? cpuSeconds / (seconds * *m_limits.cpuShare) : 0;
    constexpr double bitsPerByteAndMbit = 8e-6;
    m_linkUse = m_limits.linkMbps ? m_sentBytes * bitsPerByteAndMbit / (seconds * *m_limits.linkMbps) : 0;
    m_windowStart = now;
    m_windowUse = use;
    m_sentBytes = 0;
}

void own_load::recordSent(std::size_t bytes)
{
    m_sentBytes += static_cast<double>(bytes);
}

void own_load::recordConnections(std::size_t open, std::size_t limit)
{
    m_hasFewPlaces = open >= limit - limit / freePlacesDivisor;
}

void own_load::adjustShedShare(std::chrono::nanoseconds elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const bool isBusy = !m_limits.cpuShare || m_cpuUse >= minBusyShare;
    if (m_lateTicks >= lateTicksToShed && isBusy) {
        m_shedShare = std::min(maxShedShare, m_shedShare + shedShareRise * seconds);
    } else if (m_lateTicks == 0) {
        m_shedShare = std::max(0.0, m_shedShare - shedShareFall * seconds);
    }
    if (m_shedShare == 0) {
        m_shedDebt.fill(0);
    }
}

double own_load::shareShedOf(std::size_t urgency) const
{
    double total = 0;
    double lessUrgent = 0;
    for (std::size_t other = 0; other < urgencies; ++other) {
        total += m_requests.at(other);
        lessUrgent += other > urgency ? m_requests.at(other) : 0;
    }
    const double own = m_requests.at(urgency);
    return own > 0 ? std::clamp((m_shedShare * total - lessUrgent) / own, 0.0, maxShedShare) : 0;
}

bool own_load::admits(std::uint32_t urgency)
{
    const std::size_t index = std::min<std::size_t>(urgency, urgencies - 1);
    for (double &count : m_requests) {
        count *= 1 - decayPerRequest;
    }
    m_requests.at(index) += 1;
    if (m_shedShare == 0) {
        return true;
    }
    double &debt = m_shedDebt.at(index);
    debt += shareShedOf(index);
    if (debt < 1) {
        return true;
    }
    debt -= 1;
    return false;
}

bool own_load::closesConnection()
{
    if (m_hasFewPlaces) {
        return true;
    }
    if (m_shedShare == 0 && m_linkUse < highLinkUse && m_memoryUse < highMemoryUse) {
        m_keptConnections = 0;
        return false;
    }
    if (++m_keptConnections < responsesPerClose) {
        return false;
    }
    m_keptConnections = 0;
    return true;
}

std::chrono::milliseconds own_load::retryAfter(std::uint32_t random)
{
    return minRetryAfter + milliseconds(random % (retryAfterSpreadMs + 1));
}

double own_load::shedShare() const
{
    return m_shedShare;
}

std::chrono::nanoseconds own_load::lag() const
{
    return m_lag;
}

double own_load::cpuUse() const
{
    return m_cpuUse;
}

double own_load::linkUse() const
{
    return m_linkUse;
}

double own_load::memoryUse() const
{
    return m_memoryUse;
}

} // namespace medlarrack::gateway
