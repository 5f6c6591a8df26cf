#include <medlarrack/core/hash.hpp>
#include <medlarrack/routing/target_table.hpp>

#include <set>

namespace medlarrack::routing {

namespace {

constexpr double minSlowStartFactor = 0.1;
constexpr std::uint32_t maxBackoffDoublings = 16;

} // namespace

target_table::target_table(target_settings settings)
    : m_settings(std::move(settings))
{
}

target_table::changes target_table::update(std::span<const instances::instance> listed, core::monotonic_time now)
{
    changes result;
    std::set<std::string_view> listedIds;
    for (const instances::instance &item : listed) {
        listedIds.insert(item.id);
        const auto known = find(item.id);
        if (!known || !m_targets[*known].listed) {
            result.added.push_back(add(item, now));
            continue;
        }
        m_targets[*known].instance = item;
        if (item.leaving) {
            markLeaving(*known);
        } else if (m_targets[*known].leaving) {
            restore(*known, now);
        }
    }
    for (target_index index = 0; index < m_targets.size(); ++index) {
        if (m_targets[index].listed && !listedIds.contains(m_targets[index].instance.id)) {
            unlist(index);
            result.removed.push_back(index);
        }
    }
    m_hasInstanceList = true;
    return result;
}

bool target_table::markLeaving(target_index index)
{
    if (m_targets[index].leaving) {
        return false;
    }
    m_targets[index].leaving = true;
    m_targets[index].instance.leaving = true;
    removeCandidate(index);
    return true;
}

bool target_table::applyReport(target_index index, target_report report, core::monotonic_time now)
{
    const target &known = m_targets[index];
    if (known.hasReport) {
        const bool isStale = report.incarnation < known.report.incarnation
            || (report.incarnation == known.report.incarnation && report.sequence <= known.report.sequence);
        if (isStale) {
            return false;
        }
    }
    std::sort(report.adapters.begin(), report.adapters.end());
    modify(index, [&](target &value) {
        value.hasReport = true;
        value.report = std::move(report);
        value.reportedAt = now;
        value.sentSinceReport = 0;
        value.endedSinceReport = 0;
    });
    return true;
}

void target_table::clearReport(target_index index)
{
    modify(index, [](target &value) {
        value.hasReport = false;
    });
}

void target_table::onAttemptSent(target_index index, bool suspect)
{
    modify(index, [&](target &value) {
        ++value.outstanding;
        ++value.sentSinceReport;
        value.suspects += suspect ? 1 : 0;
    });
}

void target_table::onAttemptEnded(target_index index, bool suspect, attempt_result result, core::monotonic_time now)
{
    modify(index, [&](target &value) {
        --value.outstanding;
        ++value.endedSinceReport;
        value.suspects -= suspect ? 1 : 0;
    });
    target &value = m_targets[index];
    if (result == attempt_result::failed) {
        const std::uint32_t doublings = std::min(value.consecutiveFailures, maxBackoffDoublings);
        ++value.consecutiveFailures;
        value.backoffUntil =
            now + std::min(m_settings.failureBackoff * (1U << doublings), m_settings.maxFailureBackoff);
    } else if (result == attempt_result::answered && value.consecutiveFailures > 0) {
        value.consecutiveFailures = 0;
        value.slowStart = true;
        value.slowStartedAt = now;
    }
    freeIfUnused(index);
}

const target &target_table::at(target_index index) const
{
    return m_targets[index];
}

std::optional<target_index> target_table::find(std::string_view id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? std::nullopt : std::optional(found->second);
}

std::size_t target_table::indexCount() const
{
    return m_targets.size();
}

std::span<const target_index> target_table::candidates() const
{
    return m_candidates;
}

bool target_table::isCandidate(target_index index) const
{
    return m_candidatePositions[index] != noPosition;
}

bool target_table::isUsable(target_index index, core::monotonic_time now) const
{
    const target &value = m_targets[index];
    if (!isCandidate(index)) {
        return false;
    }
    return value.consecutiveFailures == 0 || (now >= value.backoffUntil && value.outstanding == 0);
}

double target_table::meanLoad() const
{
    return m_candidates.empty() ? 0 : static_cast<double>(m_totalLoad) / static_cast<double>(m_candidates.size());
}

double target_table::slowStartFactor(target_index index, core::monotonic_time now) const
{
    const target &value = m_targets[index];
    const auto age = now - value.slowStartedAt;
    if (!value.slowStart || age >= m_settings.slowStart) {
        return 1;
    }
    const double elapsedFraction =
        std::chrono::duration<double>(age) / std::chrono::duration<double>(m_settings.slowStart);
    return std::max(minSlowStartFactor, elapsedFraction);
}

std::uint32_t target_table::batchSize(target_index index) const
{
    const target &value = m_targets[index];
    return value.hasReport && value.report.batchSize > 0 ? value.report.batchSize : m_settings.defaultBatchSize;
}

target_index target_table::add(const instances::instance &listed, core::monotonic_time now)
{
    // A target that is listed again while attempts of its previous listing are in progress gets a new index.
    if (m_freeIndices.empty()) {
        m_freeIndices.push_back(static_cast<target_index>(m_targets.size()));
        m_targets.emplace_back();
        m_candidatePositions.push_back(noPosition);
    }
    const target_index index = m_freeIndices.back();
    m_freeIndices.pop_back();
    target &value = m_targets[index];
    value = {};
    value.instance = listed;
    value.idHash = core::hash64(listed.id);
    value.listed = true;
    value.leaving = listed.leaving;
    value.local = listed.dataCentre == m_settings.dataCentre;
    // Nothing is known of any target of the first list, so slow start applies only to targets of later lists, which are
    // new among known ones.
    value.slowStart = m_hasInstanceList;
    value.slowStartedAt = now;
    m_byId.insert_or_assign(listed.id, index);
    if (!listed.leaving) {
        addCandidate(index);
    }
    return index;
}

void target_table::unlist(target_index index)
{
    target &value = m_targets[index];
    value.listed = false;
    m_byId.erase(value.instance.id);
    removeCandidate(index);
    freeIfUnused(index);
}

void target_table::restore(target_index index, core::monotonic_time now)
{
    target &value = m_targets[index];
    value.leaving = false;
    value.consecutiveFailures = 0;
    value.slowStart = true;
    value.slowStartedAt = now;
    addCandidate(index);
}

void target_table::addCandidate(target_index index)
{
    m_candidatePositions[index] = static_cast<std::uint32_t>(m_candidates.size());
    m_candidates.push_back(index);
    m_totalLoad += m_targets[index].load();
}

void target_table::removeCandidate(target_index index)
{
    const std::uint32_t position = m_candidatePositions[index];
    if (position == noPosition) {
        return;
    }
    m_candidates[position] = m_candidates.back();
    m_candidatePositions[m_candidates[position]] = position;
    m_candidates.pop_back();
    m_candidatePositions[index] = noPosition;
    m_totalLoad -= m_targets[index].load();
}

void target_table::freeIfUnused(target_index index)
{
    const target &value = m_targets[index];
    if (!value.listed && value.outstanding == 0 && !value.instance.id.empty()) {
        m_targets[index] = {};
        m_freeIndices.push_back(index);
    }
}

template<typename Modification>
void target_table::modify(target_index index, Modification apply)
{
    target &value = m_targets[index];
    const std::uint32_t before = value.load();
    apply(value);
    if (isCandidate(index)) {
        m_totalLoad += value.load();
        m_totalLoad -= before;
    }
}

} // namespace medlarrack::routing
