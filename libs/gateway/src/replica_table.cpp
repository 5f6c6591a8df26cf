#include <medlarrack/core/hash.hpp>
#include <medlarrack/gateway/replica_table.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::gateway {

namespace {

/// Limit of remembered leaving marks. Most restarts bring a new id, so that old marks are no longer needed.
constexpr std::size_t maxLeavingMarks = 4'096;
/// Limit of remembered removals. A backup of the store is some seconds old, in which few replicas leave.
constexpr std::size_t maxRemovals = 4'096;

} // namespace

replica_table::replica_table(std::string dataCentre)
    : m_dataCentre(std::move(dataCentre))
{
}

bool replica_table::update(catalog::replica_record record, core::monotonic_time now)
{
    if (precedesRemoval(record) || !replaceAtAddress(record)) {
        return false;
    }
    if (record.leaving && record.startedAtMs != 0) {
        rememberLeaving(record.id, record.startedAtMs);
    }
    record.leaving = record.leaving || isMarkedLeaving(record);
    const auto found = m_replicas.find(record.id);
    if (found == m_replicas.end()) {
        auto added = std::make_shared<replica>();
        added->idHash = core::hash64(record.id);
        added->local = record.dataCentre == m_dataCentre;
        added->listedAt = now;
        added->record = std::move(record);
        added->origin = resumption::originOf(added->record);
        m_replicas[added->record.id] = added;
        addToService(added);
        return true;
    }
    replica &known = *found->second;
    const bool restarted = record.startedAtMs > known.record.startedAtMs;
    const bool sameStart = record.startedAtMs == known.record.startedAtMs;
    // Out-of-order record: of an earlier start, or an earlier one of the same start.
    if ((!restarted && !sameStart) || (sameStart && record.sequence < known.record.sequence)) {
        return false;
    }
    known.removalDue.reset();
    if (restarted) {
        known.health.reset();
        known.speed.reset();
        known.quietUntil.reset();
        known.requestLimit = {};
        known.prefill = {};
        known.othersLoad = 0;
        if (known.agent && known.agent->startedAtMs < record.startedAtMs) {
            known.agent->models = record.models;
            known.agent->adapters = record.adapters;
        }
    }
    // Leaving ends only with a restart.
    record.leaving = record.leaving || (sameStart && known.record.leaving);
    const bool moved = record.service != known.record.service || record.address != known.record.address
        || record.port != known.record.port;
    if (moved) {
        const std::string id = record.id;
        erase(id);
        return update(std::move(record), now);
    }
    known.record = std::move(record);
    known.origin = resumption::originOf(known.record);
    return true;
}

void replica_table::remove(std::string_view id, std::chrono::milliseconds grace, core::monotonic_time now)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end()) {
        return;
    }
    if (grace.count() > 0) {
        if (!found->second->removalDue) {
            found->second->removalDue = now + grace;
        }
        return;
    }
    eraseUnlisted(id);
}

void replica_table::forget(std::string_view id)
{
    erase(id);
}

std::size_t replica_table::removeUnlisted(std::span<const std::string> ids, std::chrono::milliseconds grace,
                                          core::monotonic_time now)
{
    std::vector<std::string> missing;
    for (const auto &[id, known] : m_replicas) {
        if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        remove(id, grace, now);
    }
    return missing.size();
}

bool replica_table::markLeaving(std::string_view id, std::uint64_t startedAtMs)
{
    const auto marked = m_leavingStarts.find(id);
    if (marked != m_leavingStarts.end() && marked->second >= startedAtMs) {
        return false;
    }
    rememberLeaving(id, startedAtMs);
    const replica_ptr known = find(id);
    if (known == nullptr || !isMarkedLeaving(known->record)) {
        return false;
    }
    return !std::exchange(known->record.leaving, true);
}

void replica_table::rememberLeaving(std::string_view id, std::uint64_t startedAtMs)
{
    const auto marked = m_leavingStarts.find(id);
    if (marked != m_leavingStarts.end()) {
        marked->second = std::max(marked->second, startedAtMs);
        return;
    }
    if (m_leavingStarts.size() >= maxLeavingMarks) {
        m_leavingStarts.erase(m_leavingOrder.front());
        m_leavingOrder.pop_front();
    }
    m_leavingOrder.emplace_back(id);
    m_leavingStarts.emplace(id, startedAtMs);
}

void replica_table::removeExpired(core::monotonic_time now)
{
    std::vector<std::string> due;
    for (const auto &[id, known] : m_replicas) {
        if (known->removalDue && now >= *known->removalDue) {
            due.push_back(id);
        }
    }
    for (const std::string &id : due) {
        eraseUnlisted(id);
    }
}

replica_ptr replica_table::find(std::string_view id) const
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() ? nullptr : found->second;
}

std::span<const replica_ptr> replica_table::findByService(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::span<const replica_ptr>() : std::span<const replica_ptr>(found->second);
}

const std::map<std::string, replica_ptr, std::less<>> &replica_table::all() const
{
    return m_replicas;
}

bool replica_table::updateVersion(std::string_view adapter, std::uint64_t version)
{
    std::uint64_t &known = m_releases[std::string(adapter)];
    if (version <= known) {
        return false;
    }
    known = version;
    ++m_releaseCount;
    return true;
}

std::uint64_t replica_table::newestVersion(std::string_view adapter) const
{
    const auto found = m_releases.find(adapter);
    return found == m_releases.end() ? 0 : found->second;
}

std::uint64_t replica_table::releaseCount() const
{
    return m_releaseCount;
}

bool replica_table::replaceAtAddress(const catalog::replica_record &record)
{
    std::string replaced;
    for (const auto &[id, known] : m_replicas) {
        const catalog::replica_record &other = known->record;
        if (id == record.id || other.port != record.port || other.address != record.address
            || other.service != record.service || other.startedAtMs == 0 || record.startedAtMs == 0
            || other.startedAtMs == record.startedAtMs) {
            continue;
        }
        if (other.startedAtMs > record.startedAtMs) {
            return false;
        }
        replaced = id;
    }
    erase(replaced);
    return true;
}

void replica_table::erase(std::string_view id)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end()) {
        return;
    }
    const replica_ptr erased = found->second;
    erased->removed = true;
    const auto service = m_services.find(erased->record.service);
    std::erase(service->second, erased);
    m_replicas.erase(found);
}

void replica_table::eraseUnlisted(std::string_view id)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end()) {
        return;
    }
    const last_record last{found->second->record.startedAtMs, found->second->record.sequence};
    if (m_removed.insert_or_assign(std::string(id), last).second) {
        m_removedOrder.emplace_back(id);
        if (m_removedOrder.size() > maxRemovals) {
            m_removed.erase(m_removedOrder.front());
            m_removedOrder.pop_front();
        }
    }
    erase(id);
}

bool replica_table::precedesRemoval(const catalog::replica_record &record) const
{
    const auto removed = m_removed.find(record.id);
    if (removed == m_removed.end() || record.startedAtMs == 0) {
        return false;
    }
    const last_record &last = removed->second;
    return record.startedAtMs < last.startedAtMs
        || (record.startedAtMs == last.startedAtMs && record.sequence <= last.sequence);
}

bool replica_table::isMarkedLeaving(const catalog::replica_record &record) const
{
    const auto marked = m_leavingStarts.find(record.id);
    return marked != m_leavingStarts.end() && record.startedAtMs <= marked->second;
}

void replica_table::addToService(const replica_ptr &added)
{
    m_services[added->record.service].push_back(added);
}

} // namespace medlarrack::gateway
