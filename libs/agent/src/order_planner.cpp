#include <medlarrack/agent/order_planner.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::agent {

namespace {

/// Adapters that an engine takes on their way at once.
constexpr std::size_t maxOnTheirWay = 4;
/// The same while an engine holds less than half of what it may: 18 empty engines with two loads each come near the 24
/// that the store carries at full speed.
constexpr std::size_t maxOnTheirWayAfterStart = 2;
/// An adapter stays for this long after its last use: a request sent to it may still be on the way. Gateways tell of a
/// request within a tick of 25 ms and the way between data centres.
constexpr std::chrono::milliseconds keepAfterUse{100};
/// How long an accepted load is believed without a report that shows it; reports are some 100 ms old.
constexpr std::chrono::milliseconds acceptedBelieved{500};
/// Gateways tell the adapters in use within this time.
constexpr std::chrono::milliseconds useKnownAfter{250};
/// Pause after an order that was not accepted.
constexpr std::chrono::milliseconds retryPause{100};
/// Pause between orders to load a base model: the engine works on one for seconds.
constexpr std::chrono::milliseconds modelPause{1'000};
/// Waiting time that counts as much as one more request: a rare adapter comes before a busy one in the end.
constexpr std::chrono::duration<double> requestWorth{0.2};
/// Adapters waited for at most; beyond it the oldest are forgotten, since their requests have been given up.
constexpr std::size_t maxWanted = 200;

std::string modelOf(std::string_view adapter)
{
    return std::string(adapter.substr(0, adapter.find('/')));
}

} // namespace

void order_planner::setLimits(engine_limits limits)
{
    m_limits = std::move(limits);
}

void order_planner::setRelease(std::string_view adapter, std::uint64_t version)
{
    std::uint64_t &known = m_releases[std::string(adapter)];
    known = std::max(known, version);
}

void order_planner::want(std::string_view adapter, core::monotonic_time now)
{
    m_lastUsed[std::string(adapter)] = now;
    if (holdsNewest(adapter)) {
        return;
    }
    const auto known = std::find_if(m_wanted.begin(), m_wanted.end(), [adapter](const auto &entry) {
        return entry.first == adapter;
    });
    if (known != m_wanted.end()) {
        known->second = now;
        return;
    }
    m_wanted.emplace_back(adapter, now);
    if (m_wanted.size() > maxWanted) {
        m_wanted.pop_front();
    }
}

void order_planner::setInUse(std::string_view gateway, use_counts adapters, core::monotonic_time now)
{
    const auto known = m_inUse.find(gateway);
    if (known != m_inUse.end()) {
        // What has just ended was used until now.
        for (const auto &[adapter, count] : known->second) {
            m_lastUsed[adapter] = now;
        }
    }
    for (const auto &[adapter, count] : adapters) {
        m_lastUsed[adapter] = now;
    }
    if (adapters.empty()) {
        if (known != m_inUse.end()) {
            m_inUse.erase(known);
        }
        return;
    }
    m_inUse[std::string(gateway)] = std::move(adapters);
}

void order_planner::reported(engine_report report, core::monotonic_time now)
{
    if (report.startedAtMs != m_report.startedAtMs) {
        m_accepted.clear();
        m_notBefore.clear();
    }
    for (const auto &[adapter, version] : report.adapters) {
        if (!m_report.adapters.contains(adapter)) {
            m_lastUsed[adapter] = now;
        }
    }
    m_report = std::move(report);
    m_up = true;
    std::erase_if(m_accepted, [&](const auto &entry) {
        return m_report.adapters.contains(entry.first) || m_report.loading.contains(entry.first)
            || now - entry.second > acceptedBelieved;
    });
    std::erase_if(m_notBefore, [now](const auto &entry) {
        return entry.second <= now;
    });
    // Nobody waits any more for what is in no gateway's use some time after it was asked for.
    std::erase_if(m_wanted, [&](const auto &entry) {
        return holdsNewest(entry.first) || (now - entry.second > useKnownAfter && !isInUse(entry.first));
    });
    std::erase_if(m_lastUsed, [&](const auto &entry) {
        return !m_report.adapters.contains(entry.first) && !isOnItsWay(entry.first) && !isInUse(entry.first);
    });
}

void order_planner::unreachable()
{
    m_up = false;
}

std::optional<engine_order> order_planner::nextOrder(core::monotonic_time now)
{
    if (!m_up || m_limits.models.empty()) {
        return std::nullopt;
    }
    if (auto order = nextModelOrder(now)) {
        return order;
    }
    if (auto order = nextReplacement(now)) {
        return order;
    }
    return nextLoad(now);
}

std::optional<engine_order> order_planner::nextModelOrder(core::monotonic_time now) const
{
    if (m_report.busy) {
        return std::nullopt;
    }
    for (const std::string &model : m_limits.models) {
        const bool held = std::find(m_report.models.begin(), m_report.models.end(), model) != m_report.models.end();
        if (!held && mayOrder(model, now)) {
            return engine_order{engine_order::operation_type::load, model, "", 0};
        }
    }
    return std::nullopt;
}

std::optional<engine_order> order_planner::nextReplacement(core::monotonic_time now) const
{
    for (const auto &[adapter, version] : m_report.adapters) {
        const std::uint64_t newest = releaseOf(adapter);
        if (version < newest && !isOnItsWay(adapter) && mayOrder(adapter, now)) {
            return engine_order{engine_order::operation_type::load, modelOf(adapter), adapter, newest};
        }
    }
    return std::nullopt;
}

std::optional<engine_order> order_planner::nextLoad(core::monotonic_time now)
{
    if (mayBeginLoads() == 0) {
        return std::nullopt;
    }
    const std::string *adapter = mostWanted(now);
    if (adapter == nullptr) {
        return std::nullopt;
    }
    if (occupied() < m_limits.adapterSlots) {
        return engine_order{engine_order::operation_type::load, modelOf(*adapter), *adapter, releaseOf(*adapter)};
    }
    if (const auto victim = leastRecentlyUsed(now)) {
        return engine_order{engine_order::operation_type::unload, modelOf(*victim), *victim, 0};
    }
    return std::nullopt;
}

const std::string *order_planner::mostWanted(core::monotonic_time now) const
{
    const std::string *best = nullptr;
    double bestRank = 0;
    for (const auto &[adapter, askedAt] : m_wanted) {
        const bool modelHeld =
            std::find(m_report.models.begin(), m_report.models.end(), modelOf(adapter)) != m_report.models.end();
        if (!modelHeld || isOnItsWay(adapter) || m_report.adapters.contains(adapter) || !mayOrder(adapter, now)) {
            continue;
        }
        const double rank = requestsFor(adapter) + std::chrono::duration<double>(now - askedAt) / requestWorth;
        if (best == nullptr || rank > bestRank) {
            best = &adapter;
            bestRank = rank;
        }
    }
    return best;
}

void order_planner::ordered(const engine_order &order, order_result result, core::monotonic_time now)
{
    const std::string &key = order.adapter.empty() ? order.model : order.adapter;
    const bool taken = result == order_result::accepted || result == order_result::done;
    if (order.adapter.empty()) {
        m_notBefore[key] = now + (taken ? modelPause : retryPause);
        return;
    }
    if (!taken && result != order_result::unknown) {
        m_notBefore[key] = now + retryPause;
        return;
    }
    if (order.operation == engine_order::operation_type::load) {
        // Without an answer the load may have been accepted: its slot counts until a report tells.
        m_accepted[key] = now;
        m_notBefore[key] = now + acceptedBelieved;
        return;
    }
    if (result == order_result::done) {
        m_report.adapters.erase(key);
        m_lastUsed.erase(key);
    } else {
        m_notBefore[key] = now + retryPause;
    }
}

bool order_planner::isActive() const
{
    return !m_wanted.empty() || !m_accepted.empty() || !m_report.loading.empty() || m_report.busy
        || (m_up && m_report.models.empty());
}

std::size_t order_planner::waiting() const
{
    return static_cast<std::size_t>(std::count_if(m_wanted.begin(), m_wanted.end(), [this](const auto &entry) {
        return !isOnItsWay(entry.first);
    }));
}

std::size_t order_planner::room(core::monotonic_time now) const
{
    if (!m_up) {
        return 0;
    }
    const auto unused = static_cast<std::size_t>(
        std::count_if(m_report.adapters.begin(), m_report.adapters.end(), [&](const auto &entry) {
            return mayUnload(entry.first, now);
        }));
    const std::size_t held = std::min<std::size_t>(occupied(), m_limits.adapterSlots);
    const std::size_t places = m_limits.adapterSlots - held + unused;
    const std::size_t most = std::min(places, mayBeginLoads());
    return most - std::min(most, waiting());
}

std::size_t order_planner::mayBeginLoads() const
{
    // Engines that were started anew are seldom alone: the store is shared by all of them, and what is wanted most
    // comes sooner if less is on its way beside it.
    const bool nearlyEmpty = 2 * m_report.adapters.size() < m_limits.adapterSlots;
    const std::size_t most = nearlyEmpty ? maxOnTheirWayAfterStart : maxOnTheirWay;
    return most - std::min(most, m_report.loading.size() + m_accepted.size());
}

bool order_planner::isUp() const
{
    return m_up;
}

const engine_report &order_planner::report() const
{
    return m_report;
}

std::optional<std::string> order_planner::leastRecentlyUsed(core::monotonic_time now) const
{
    std::optional<std::string> oldest;
    core::monotonic_time oldestUse = now;
    for (const auto &[adapter, version] : m_report.adapters) {
        const core::monotonic_time at = lastUse(adapter);
        if (at <= oldestUse && mayUnload(adapter, now)) {
            oldest = adapter;
            oldestUse = at;
        }
    }
    return oldest;
}

bool order_planner::mayUnload(std::string_view adapter, core::monotonic_time now) const
{
    return lastUse(adapter) <= now - keepAfterUse && !isInUse(adapter) && !isOnItsWay(adapter)
        && mayOrder(adapter, now);
}

core::monotonic_time order_planner::lastUse(std::string_view adapter) const
{
    const auto used = m_lastUsed.find(adapter);
    return used == m_lastUsed.end() ? core::monotonic_time() : used->second;
}

bool order_planner::isInUse(std::string_view adapter) const
{
    return std::any_of(m_inUse.begin(), m_inUse.end(), [adapter](const auto &entry) {
        return entry.second.contains(adapter);
    });
}

std::uint32_t order_planner::requestsFor(std::string_view adapter) const
{
    std::uint32_t sum = 0;
    for (const auto &[gateway, counts] : m_inUse) {
        const auto found = counts.find(adapter);
        sum += found == counts.end() ? 0 : found->second;
    }
    return sum;
}

bool order_planner::isOnItsWay(std::string_view adapter) const
{
    return m_report.loading.contains(adapter) || m_accepted.contains(adapter);
}

std::size_t order_planner::occupied() const
{
    std::size_t count = m_report.adapters.size();
    for (const auto &[adapter, version] : m_report.loading) {
        count += m_report.adapters.contains(adapter) ? 0 : 1;
    }
    for (const auto &[adapter, at] : m_accepted) {
        count += m_report.adapters.contains(adapter) || m_report.loading.contains(adapter) ? 0 : 1;
    }
    return count;
}

bool order_planner::holdsNewest(std::string_view adapter) const
{
    const auto held = m_report.adapters.find(adapter);
    return held != m_report.adapters.end() && held->second >= releaseOf(adapter);
}

std::uint64_t order_planner::releaseOf(std::string_view adapter) const
{
    const auto found = m_releases.find(adapter);
    return found == m_releases.end() ? 0 : found->second;
}

bool order_planner::mayOrder(std::string_view key, core::monotonic_time now) const
{
    const auto found = m_notBefore.find(key);
    return found == m_notBefore.end() || now >= found->second;
}

} // namespace medlarrack::agent
