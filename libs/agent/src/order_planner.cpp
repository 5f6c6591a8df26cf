#include <medlarrack/agent/order_planner.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarrack::agent {

namespace {

/// Adapter loads that an engine accepts at a time.
constexpr std::size_t maxConcurrentLoads = 4;
/// Times until some were measured.
constexpr std::chrono::milliseconds assumedMemoryLoadTime{30};
constexpr std::chrono::milliseconds assumedStartInterval{150};
/// A load from memory takes less than this share of one from an idle store.
constexpr double memoryLoadShare = 0.5;
/// Time constant with which the interval between starts returns to the assumed one while no loads wait.
constexpr std::chrono::duration<double> forgetTime{3};
/// Weight of the newest sample in a learned time.
constexpr double newestWeight = 0.2;
/// An adapter isn't unloaded within this time of its last use, as a request for it may still be in transit. Gateways
/// report a request within a tick of 25 ms plus the latency between data centres.
constexpr std::chrono::milliseconds minIdleBeforeUnload{100};
/// After this time an ordered load that no report shows is taken as failed; reports are about 100 ms old.
constexpr std::chrono::milliseconds unconfirmedLoadTimeout{500};
/// Time for which reports that are older than the last one are dropped.
constexpr std::chrono::milliseconds outdatedReportTimeout{2'000};
/// Gateways report the adapters in use within this time of a request.
constexpr std::chrono::milliseconds inUseReportDelay{250};
/// Delay before an order that was not accepted is repeated.
constexpr std::chrono::milliseconds orderRetryDelay{100};
/// Delay between orders to load the same base model; such a load takes seconds.
constexpr std::chrono::milliseconds modelRetryDelay{1'000};
/// Each such time of waiting raises an adapter's priority as much as one more request for it, so that popular adapters
/// don't starve rarely used ones.
constexpr std::chrono::duration<double> agingInterval{0.2};
/// Limit of requested adapters; beyond it the oldest are dropped, as their requests have been abandoned.
constexpr std::size_t maxRequestedAdapters = 200;

void learn(std::chrono::nanoseconds &value, std::chrono::nanoseconds sample)
{
    value += std::chrono::duration_cast<std::chrono::nanoseconds>((sample - value) * newestWeight);
}

std::string modelOf(std::string_view adapter)
{
    return std::string(adapter.substr(0, adapter.find('/')));
}

} // namespace

order_planner::order_planner(std::uint32_t seed)
    : m_pacer(seed)
    , m_memoryLoadTime(assumedMemoryLoadTime)
    , m_startInterval(assumedStartInterval)
{
}

void order_planner::setLimits(engine_limits limits)
{
    m_limits = std::move(limits);
    m_memory.setCapacity(m_limits.weightsMb);
    for (const auto &[model, size] : m_limits.listedModels) {
        m_memory.setSize(model, size);
    }
}

void order_planner::setRelease(std::string_view adapter, std::uint64_t version)
{
    std::uint64_t &known = m_releases[std::string(adapter)];
    known = std::max(known, version);
}

void order_planner::requestAdapter(std::string_view adapter, core::monotonic_time now)
{
    m_lastUsed[std::string(adapter)] = now;
    if (holdsNewest(adapter)) {
        return;
    }
    const auto known = std::find_if(m_requested.begin(), m_requested.end(), [adapter](const auto &entry) {
        return entry.first == adapter;
    });
    if (known != m_requested.end()) {
        known->second = now;
        return;
    }
    if (pendingLoads() == 0) {
        m_lastStart = now;
    }
    m_requested.emplace_back(adapter, now);
    if (m_requested.size() > maxRequestedAdapters) {
        m_requested.pop_front();
    }
}

void order_planner::setInUse(std::string_view gateway, request_counts adapters, core::monotonic_time now)
{
    const auto known = m_inUse.find(gateway);
    if (known != m_inUse.end()) {
        // Requests that have just ended used their adapters until now.
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

bool order_planner::isOutdated(const engine_report &report, core::monotonic_time now) const
{
    if (now - m_reportedAt > outdatedReportTimeout) {
        return false;
    }
    if (report.startedAtMs != m_report.startedAtMs) {
        return report.startedAtMs < m_report.startedAtMs;
    }
    return report.sequence < m_report.sequence;
}

std::vector<completed_load> order_planner::onReport(engine_report report, core::monotonic_time now)
{
    std::vector<completed_load> completed;
    if (isOutdated(report, now)) {
        return completed;
    }
    if (report.startedAtMs != m_report.startedAtMs) {
        m_unconfirmedLoads.clear();
        m_unconfirmedModels.clear();
        m_unconfirmedUnloads.clear();
        m_notBefore.clear();
        m_orderedLoads.clear();
        const std::size_t capacity = m_recentAdapters.capacity();
        m_recentAdapters = {};
        m_recentAdapters.setCapacity(capacity);
    }
    for (const auto &[adapter, version] : report.adapters) {
        if (!m_report.adapters.contains(adapter)) {
            m_lastUsed[adapter] = now;
            if (const auto ordered = m_orderedLoads.find(adapter); ordered != m_orderedLoads.end()) {
                completed.push_back(recordLoadEnd(adapter, ordered->second, now));
            }
            m_recentAdapters.add(adapter);
        }
    }
    for (const auto &[adapter, version] : m_report.adapters) {
        if (!report.adapters.contains(adapter) && report.startedAtMs == m_report.startedAtMs) {
            m_recentAdapters.add(adapter);
        }
    }
    m_report = std::move(report);
    m_reportedAt = now;
    m_engineUp = true;
    m_needsReport = false;
    m_sequence = m_report.sequence;
    std::erase_if(m_orderedLoads, [&](const auto &entry) {
        return m_report.adapters.contains(entry.first)
            || (!m_report.loading.contains(entry.first) && now - entry.second.startedAt > unconfirmedLoadTimeout);
    });
    std::erase_if(m_unconfirmedLoads, [&](const auto &entry) {
        return m_report.adapters.contains(entry.first) || m_report.loading.contains(entry.first)
            || now - entry.second > unconfirmedLoadTimeout;
    });
    std::erase_if(m_unconfirmedModels, [&](const auto &entry) {
        return holdsModel(entry.first) || (!m_report.busy && now - entry.second > unconfirmedLoadTimeout);
    });
    std::erase_if(m_unconfirmedUnloads, [&](const auto &entry) {
        return !m_report.adapters.contains(entry.first) || now - entry.second > unconfirmedLoadTimeout;
    });
    std::erase_if(m_notBefore, [now](const auto &entry) {
        return entry.second <= now;
    });
    // The requests for an adapter have ended if no gateway reports it as in use by inUseReportDelay after the last one.
    std::erase_if(m_requested, [&](const auto &entry) {
        return holdsNewest(entry.first) || (now - entry.second > inUseReportDelay && !isInUse(entry.first));
    });
    std::erase_if(m_lastUsed, [&](const auto &entry) {
        return !m_report.adapters.contains(entry.first) && !isLoading(entry.first) && !isInUse(entry.first);
    });
    return completed;
}

void order_planner::onEngineUnreachable()
{
    m_engineUp = false;
}

std::optional<engine_order> order_planner::nextOrder(core::monotonic_time now)
{
    if (!m_engineUp || m_needsReport || m_limits.models.empty()) {
        return std::nullopt;
    }
    auto order = nextUncheckedOrder(now);
    if (order) {
        order->expectedSequence = m_sequence;
    }
    return order;
}

std::optional<engine_order> order_planner::nextUncheckedOrder(core::monotonic_time now)
{
    if (auto order = nextModelOrder(now)) {
        return order;
    }
    if (auto order = nextVersionUpdate(now)) {
        return order;
    }
    return nextLoad(now);
}

std::optional<engine_order> order_planner::nextModelOrder(core::monotonic_time now) const
{
    if (m_report.busy || !m_unconfirmedModels.empty()) {
        return std::nullopt;
    }
    for (const std::string &model : m_limits.models) {
        if (holdsModel(model)) {
            continue;
        }
        if (!m_memory.fits(usedMb(), m_memory.modelMb(model))) {
            if (auto order = nextModelUnload(now)) {
                return order;
            }
            // Beside models that are to stay, only adapters can make room.
            if (m_memory.fits(modelsMb(), m_memory.modelMb(model))) {
                return nextUnload(now);
            }
        } else if (isOrderAllowed(model, now)) {
            return engine_order{engine_order::operation_type::load, model, "", 0};
        }
    }
    return std::nullopt;
}

std::optional<engine_order> order_planner::nextModelUnload(core::monotonic_time now) const
{
    for (const std::string &model : m_report.models) {
        if (!m_limits.listedModels.contains(model) && isOrderAllowed(model, now)) {
            return engine_order{engine_order::operation_type::unload, model, "", 0};
        }
    }
    return std::nullopt;
}

std::optional<engine_order> order_planner::nextVersionUpdate(core::monotonic_time now) const
{
    for (const auto &[adapter, version] : m_report.adapters) {
        const std::uint64_t newest = newestVersion(adapter);
        if (version < newest && !isLoading(adapter) && isOrderAllowed(adapter, now)) {
            return engine_order{engine_order::operation_type::load, modelOf(adapter), adapter, newest};
        }
    }
    return std::nullopt;
}

std::optional<engine_order> order_planner::nextLoad(core::monotonic_time now)
{
    const std::string *adapter = highestPriorityAdapter(now);
    if (adapter == nullptr) {
        return std::nullopt;
    }
    // What loads without an order of this process may be a base model of any size.
    if (isReplacingModel() || (m_report.busy && m_unconfirmedModels.empty())) {
        return std::nullopt;
    }
    const bool fits = m_memory.fits(usedMb(), m_memory.adapterMb(*adapter));
    if (!fits) {
        if (auto order = nextModelUnload(now)) {
            return order;
        }
    }
    if (fits && occupiedSlots() < m_limits.adapterSlots) {
        return engine_order{engine_order::operation_type::load, modelOf(*adapter), *adapter, newestVersion(*adapter)};
    }
    return nextUnload(now);
}

std::optional<engine_order> order_planner::nextUnload(core::monotonic_time now) const
{
    // A slot that will be free soon.
    if (!m_unconfirmedUnloads.empty()) {
        return std::nullopt;
    }
    if (const auto victim = leastRecentlyUsedEvictable(now)) {
        return engine_order{engine_order::operation_type::unload, modelOf(*victim), *victim, 0};
    }
    return std::nullopt;
}

bool order_planner::holdsModel(std::string_view model) const
{
    return std::find(m_report.models.begin(), m_report.models.end(), model) != m_report.models.end();
}

bool order_planner::isReplacingModel() const
{
    const bool holdsAll = std::all_of(m_limits.models.begin(), m_limits.models.end(), [this](const std::string &model) {
        return holdsModel(model);
    });
    return !holdsAll && !m_limits.listedModels.empty()
        && std::any_of(m_report.models.begin(), m_report.models.end(), [this](const std::string &model) {
               return !m_limits.listedModels.contains(model);
           });
}

double order_planner::modelsMb() const
{
    double used = 0;
    for (const std::string &model : m_report.models) {
        used += m_memory.modelMb(model);
    }
    for (const auto &[model, at] : m_unconfirmedModels) {
        used += m_memory.modelMb(model);
    }
    return used;
}

double order_planner::usedMb() const
{
    double used = modelsMb();
    for (const auto &[adapter, version] : m_report.adapters) {
        used += m_memory.adapterMb(adapter);
    }
    for (const auto &[adapter, version] : m_report.loading) {
        used += m_report.adapters.contains(adapter) ? 0 : m_memory.adapterMb(adapter);
    }
    for (const auto &[adapter, at] : m_unconfirmedLoads) {
        const bool isReported = m_report.adapters.contains(adapter) || m_report.loading.contains(adapter);
        used += isReported ? 0 : m_memory.adapterMb(adapter);
    }
    return used;
}

const std::string *order_planner::highestPriorityAdapter(core::monotonic_time now) const
{
    const std::string *best = nullptr;
    double bestPriority = 0;
    for (const auto &[adapter, requestedAt] : m_requested) {
        if (!holdsModel(modelOf(adapter)) || isLoading(adapter) || m_report.adapters.contains(adapter)
            || !isOrderAllowed(adapter, now) || !mayLoad(adapter, now)) {
            continue;
        }
        const double priority =
            requestCount(adapter) + std::chrono::duration<double>(now - requestedAt) / agingInterval;
        if (best == nullptr || priority > bestPriority) {
            best = &adapter;
            bestPriority = priority;
        }
    }
    return best;
}

void order_planner::onOrderResult(const engine_order &order, order_result result, core::monotonic_time now)
{
    const std::string &key = order.adapter.empty() ? order.model : order.adapter;
    const bool accepted = result == order_result::accepted || result == order_result::done;
    if (result == order_result::accepted) {
        // The engine checks the sum: an answer that tells too much costs the next order, not a slot.
        m_sequence = m_sequence ? std::optional(*m_sequence + 1) : std::nullopt;
    } else {
        m_needsReport = true;
    }
    if (order.adapter.empty()) {
        const bool mayLoadNow = accepted || result == order_result::unknown;
        if (mayLoadNow && order.operation == engine_order::operation_type::load) {
            m_unconfirmedModels[key] = now;
        }
        m_notBefore[key] = now + (accepted ? modelRetryDelay : orderRetryDelay);
        return;
    }
    if (!accepted && result != order_result::unknown) {
        m_notBefore[key] = now + orderRetryDelay;
        return;
    }
    if (order.operation == engine_order::operation_type::load) {
        // Without an answer the load may have been accepted: its slot counts as occupied until a report shows it or the
        // time-out has passed.
        m_unconfirmedLoads[key] = now;
        recordLoadStart(key, now);
        m_notBefore[key] = now + unconfirmedLoadTimeout;
        return;
    }
    // The slot stays occupied until a report shows it free: an answer may be taken for more than it says.
    m_notBefore[key] = now + orderRetryDelay;
    if (result == order_result::done) {
        m_unconfirmedUnloads[key] = now;
    }
}

bool order_planner::needsReport() const
{
    return m_needsReport;
}

bool order_planner::hasPendingWork() const
{
    return !m_requested.empty() || !m_unconfirmedLoads.empty() || !m_unconfirmedModels.empty() || m_needsReport
        || !m_report.loading.empty() || m_report.busy || (m_engineUp && m_report.models.empty());
}

std::size_t order_planner::pendingLoads() const
{
    return static_cast<std::size_t>(std::count_if(m_requested.begin(), m_requested.end(), [this](const auto &entry) {
        return !isLoading(entry.first);
    }));
}

std::size_t order_planner::usableSlots(core::monotonic_time now) const
{
    const auto evictable = static_cast<std::size_t>(
        std::count_if(m_report.adapters.begin(), m_report.adapters.end(), [&](const auto &entry) {
            return isEvictable(entry.first, now);
        }));
    return m_limits.adapterSlots - std::min<std::size_t>(occupiedSlots(), m_limits.adapterSlots) + evictable;
}

std::size_t order_planner::availableSlots(core::monotonic_time now) const
{
    if (!m_engineUp) {
        return 0;
    }
    const std::size_t available = std::min(usableSlots(now), availableLoads(now));
    return available - std::min(available, pendingLoads());
}

std::size_t order_planner::availableMemorySlots(core::monotonic_time now) const
{
    if (!m_engineUp) {
        return 0;
    }
    const auto pending =
        static_cast<std::size_t>(std::count_if(m_requested.begin(), m_requested.end(), [this](const auto &entry) {
            return !isLoading(entry.first) && m_recentAdapters.contains(entry.first);
        }));
    const std::size_t loads = maxConcurrentLoads - std::min(maxConcurrentLoads, loadsInProgress());
    const std::size_t available = std::min(usableSlots(now), loads);
    return available - std::min(available, pending);
}

load_times order_planner::loadTimes(core::monotonic_time now) const
{
    const auto round = [](std::chrono::nanoseconds time) {
        return std::chrono::round<std::chrono::milliseconds>(time);
    };
    std::chrono::nanoseconds interval = m_startInterval;
    if (pendingLoads() > 0) {
        interval = std::max<std::chrono::nanoseconds>(interval, now - m_lastStart);
    } else {
        const double weight = std::exp(-std::chrono::duration<double>(now - m_lastStart) / forgetTime);
        interval = assumedStartInterval
            + std::chrono::duration_cast<std::chrono::nanoseconds>((interval - assumedStartInterval) * weight);
    }
    return {round(m_pacer.loadTime(now)), round(m_memoryLoadTime), round(interval)};
}

const catalog::recent_adapters &order_planner::recentAdapters() const
{
    return m_recentAdapters;
}

const load_pacer &order_planner::pacer() const
{
    return m_pacer;
}

std::size_t order_planner::loadsInProgress() const
{
    return static_cast<std::size_t>(std::count_if(m_unconfirmedLoads.begin(), m_unconfirmedLoads.end(),
                                                  [this](const auto &entry) {
                                                      return !m_report.loading.contains(entry.first);
                                                  }))
        + m_report.loading.size();
}

std::size_t order_planner::storeLoadsInProgress() const
{
    // Loads that an earlier process of the agent has ordered may be from the store.
    const auto fromMemory = std::count_if(m_orderedLoads.begin(), m_orderedLoads.end(), [this](const auto &entry) {
        return entry.second.expectedInMemory && isLoading(entry.first);
    });
    return loadsInProgress() - std::min(loadsInProgress(), static_cast<std::size_t>(fromMemory));
}

bool order_planner::mayLoad(std::string_view adapter, core::monotonic_time now) const
{
    if (loadsInProgress() >= maxConcurrentLoads) {
        return false;
    }
    return m_recentAdapters.contains(adapter) || m_pacer.mayStart(storeLoadsInProgress(), now);
}

std::size_t order_planner::availableLoads(core::monotonic_time now) const
{
    std::size_t more = 0;
    while (loadsInProgress() + more < maxConcurrentLoads && m_pacer.mayStart(storeLoadsInProgress() + more, now)) {
        ++more;
    }
    return more;
}

void order_planner::recordLoadStart(std::string_view adapter, core::monotonic_time now)
{
    m_orderedLoads[std::string(adapter)] = {now, m_recentAdapters.contains(adapter)};
    learn(m_startInterval, now - m_lastStart);
    m_lastStart = now;
}

completed_load order_planner::recordLoadEnd(const std::string &adapter, const ordered_load &load,
                                            core::monotonic_time now)
{
    const std::chrono::nanoseconds time = now - load.startedAt;
    // Also an adapter that this process hasn't seen there before may come from memory: the engine outlives its agent.
    const bool fromMemory =
        std::chrono::duration<double>(time) < std::chrono::duration<double>(m_pacer.idleLoadTime()) * memoryLoadShare;
    m_recentAdapters.recordLoad(adapter, fromMemory);
    if (fromMemory) {
        learn(m_memoryLoadTime, time);
    } else {
        m_pacer.recordLoad(load.startedAt, now);
    }
    return {adapter, std::chrono::round<std::chrono::milliseconds>(time), fromMemory};
}

bool order_planner::isEngineUp() const
{
    return m_engineUp;
}

const engine_report &order_planner::report() const
{
    return m_report;
}

std::optional<std::string> order_planner::leastRecentlyUsedEvictable(core::monotonic_time now) const
{
    std::optional<std::string> oldest;
    core::monotonic_time oldestUse = now;
    for (const auto &[adapter, version] : m_report.adapters) {
        const core::monotonic_time at = lastUse(adapter);
        if (at <= oldestUse && isEvictable(adapter, now)) {
            oldest = adapter;
            oldestUse = at;
        }
    }
    return oldest;
}

bool order_planner::isEvictable(std::string_view adapter, core::monotonic_time now) const
{
    return lastUse(adapter) <= now - minIdleBeforeUnload && !isInUse(adapter) && !isLoading(adapter)
        && !m_unconfirmedUnloads.contains(adapter) && isOrderAllowed(adapter, now);
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

std::uint32_t order_planner::requestCount(std::string_view adapter) const
{
    std::uint32_t sum = 0;
    for (const auto &[gateway, counts] : m_inUse) {
        const auto found = counts.find(adapter);
        sum += found == counts.end() ? 0 : found->second;
    }
    return sum;
}

bool order_planner::isLoading(std::string_view adapter) const
{
    return m_report.loading.contains(adapter) || m_unconfirmedLoads.contains(adapter);
}

std::size_t order_planner::occupiedSlots() const
{
    std::size_t count = m_report.adapters.size();
    for (const auto &[adapter, version] : m_report.loading) {
        count += m_report.adapters.contains(adapter) ? 0 : 1;
    }
    for (const auto &[adapter, at] : m_unconfirmedLoads) {
        count += m_report.adapters.contains(adapter) || m_report.loading.contains(adapter) ? 0 : 1;
    }
    return count;
}

bool order_planner::holdsNewest(std::string_view adapter) const
{
    const auto held = m_report.adapters.find(adapter);
    return held != m_report.adapters.end() && held->second >= newestVersion(adapter);
}

std::uint64_t order_planner::newestVersion(std::string_view adapter) const
{
    const auto found = m_releases.find(adapter);
    return found == m_releases.end() ? 0 : found->second;
}

bool order_planner::isOrderAllowed(std::string_view key, core::monotonic_time now) const
{
    const auto found = m_notBefore.find(key);
    return found == m_notBefore.end() || now >= found->second;
}

} // namespace medlarrack::agent
