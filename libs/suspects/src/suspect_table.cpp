#include <medlarrack/core/hash.hpp>
#include <medlarrack/suspects/suspect_table.hpp>

#include <algorithm>
#include <string>

namespace medlarrack::suspects {

std::uint64_t targetHash(const core::instance_ref &target)
{
    return core::hash64(target.id, target.incarnation);
}

suspect_table::suspect_table(suspect_limits limits)
    : m_limits(limits)
{
    m_limits.crashesToRefuse = std::max<std::size_t>(m_limits.crashesToRefuse, 1);
    m_limits.maxFingerprints = std::max<std::size_t>(m_limits.maxFingerprints, 1);
    m_limits.maxCrashes = std::max(m_limits.maxCrashes, m_limits.crashesToRefuse);
}

suspect_status suspect_table::statusOf(std::uint64_t fingerprint, core::monotonic_time now) const
{
    const std::size_t count = crashCount(fingerprint, now);
    if (count >= m_limits.crashesToRefuse) {
        return suspect_status::refused;
    }
    return count == 0 ? suspect_status::clear : suspect_status::suspect;
}

std::size_t suspect_table::crashCount(std::uint64_t fingerprint, core::monotonic_time now) const
{
    const std::span<const crash> known = crashesOf(fingerprint, now);
    return known.size() < 2 ? known.size() : countSequential({known.begin(), known.end()});
}

std::size_t suspect_table::crashCountWith(std::uint64_t fingerprint, std::span<const crash> possible,
                                          core::monotonic_time now) const
{
    const std::span<const crash> known = crashesOf(fingerprint, now);
    std::vector<crash> all(known.begin(), known.end());
    all.insert(all.end(), possible.begin(), possible.end());
    return countSequential(std::move(all));
}

std::vector<crash>
suspect_table::unexplainedCrashes(std::uint64_t fingerprint,
                                  const std::function<bool(std::uint64_t other, std::size_t crashCount)> &mayExplain,
                                  core::monotonic_time now) const
{
    const std::span<const crash> known = crashesOf(fingerprint, now);
    std::vector<crash> unexplained(known.begin(), known.end());
    for (const auto &stored : m_entries) {
        const std::uint64_t other = stored.first;
        const std::vector<crash> &crashes = stored.second.crashes;
        if (other == fingerprint || crashes.size() < m_limits.crashesToRefuse) {
            continue;
        }
        const std::size_t count = crashCount(other, now);
        if (count < m_limits.crashesToRefuse || !mayExplain(other, count)) {
            continue;
        }
        std::erase_if(unexplained, [&](const crash &one) {
            return std::any_of(crashes.begin(), crashes.end(), [&](const crash &shared) {
                return isDuplicate(one, shared);
            });
        });
    }
    return unexplained;
}

std::span<const crash> suspect_table::crashesOf(std::uint64_t fingerprint, core::monotonic_time now) const
{
    const entry *found = find(fingerprint, now);
    return found == nullptr ? std::span<const crash>() : std::span<const crash>(found->crashes);
}

void suspect_table::recordProbe(std::uint64_t fingerprint, const core::instance_ref &target, core::monotonic_time now)
{
    add(fingerprint, {targetHash(target), now, {}, true}, now);
}

void suspect_table::withdrawProbe(std::uint64_t fingerprint, const crash &probe)
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return;
    }
    std::erase_if(found->second.crashes, [&probe](const crash &known) {
        return known.probe && known.target == probe.target && known.at == probe.at;
    });
    if (found->second.crashes.empty()) {
        erase(fingerprint);
    }
}

bool suspect_table::recordCrash(std::uint64_t fingerprint, const core::instance_ref &target, core::monotonic_time now,
                                std::chrono::nanoseconds runTime)
{
    return add(fingerprint, {targetHash(target), now, runTime}, now);
}

bool suspect_table::recordAnswer(std::uint64_t fingerprint, core::monotonic_time now)
{
    return statusOf(fingerprint, now) == suspect_status::suspect && acquit(fingerprint, now, now);
}

bool suspect_table::acquit(std::uint64_t fingerprint, core::monotonic_time answeredAt, core::monotonic_time now)
{
    if (find(fingerprint, now) == nullptr) {
        return false;
    }
    std::vector<crash> &crashes = findOrAdd(fingerprint, now).crashes;
    const auto dropped = std::erase_if(crashes, [answeredAt](const crash &known) {
        return known.at <= answeredAt;
    });
    if (crashes.empty()) {
        erase(fingerprint);
    }
    return dropped > 0;
}

std::vector<std::uint64_t> suspect_table::fingerprints() const
{
    std::vector<std::uint64_t> result;
    std::ranges::copy_if(m_order, std::back_inserter(result), [this](std::uint64_t fingerprint) {
        return m_entries.contains(fingerprint);
    });
    return result;
}

std::vector<core::crash_record> suspect_table::recordsOf(std::uint64_t fingerprint, core::monotonic_time now) const
{
    const auto toMilliseconds = [](std::chrono::nanoseconds time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time);
    };
    std::vector<core::crash_record> result;
    for (const crash &known : crashesOf(fingerprint, now)) {
        result.push_back(
            {fingerprint, known.target, toMilliseconds(now - known.at), toMilliseconds(known.runTime), known.probe});
    }
    return result;
}

std::vector<core::crash_record> suspect_table::records(core::monotonic_time now) const
{
    std::vector<core::crash_record> result;
    for (const std::uint64_t fingerprint : m_order) {
        const auto records = recordsOf(fingerprint, now);
        result.insert(result.end(), records.begin(), records.end());
    }
    return result;
}

core::crash_news suspect_table::merge(const core::crash_news &received, core::monotonic_time now)
{
    constexpr std::chrono::milliseconds zero{0};
    core::crash_news news;
    for (const core::crash_record &record : received.crashes) {
        // A negative age would date the crash in the future, and it might never expire.
        const auto age = std::max(record.age, zero);
        const crash added{record.target, now - age, std::max(record.ran, zero), record.probe};
        if (age < m_limits.fadeAfter && add(record.fingerprint, added, now)) {
            news.crashes.push_back(record);
        }
    }
    for (const core::acquittal &acquittal : received.acquittals) {
        if (acquit(acquittal.fingerprint, now - std::max(acquittal.age, zero), now)) {
            news.acquittals.push_back(acquittal);
        }
    }
    return news;
}

std::size_t suspect_table::size() const
{
    return m_entries.size();
}

const suspect_table::entry *suspect_table::find(std::uint64_t fingerprint, core::monotonic_time now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || now - found->second.lastCrash >= m_limits.fadeAfter) {
        return nullptr;
    }
    return &found->second;
}

suspect_table::entry &suspect_table::findOrAdd(std::uint64_t fingerprint, core::monotonic_time now)
{
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end()) {
        if (now - found->second.lastCrash >= m_limits.fadeAfter) {
            found->second = {};
        }
        return found->second;
    }
    while (m_entries.size() >= m_limits.maxFingerprints) {
        evict(now);
    }
    m_order.push_back(fingerprint);
    return m_entries[fingerprint];
}

bool suspect_table::add(std::uint64_t fingerprint, const crash &added, core::monotonic_time now)
{
    entry &suspect = findOrAdd(fingerprint, now);
    suspect.lastCrash = suspect.crashes.empty() ? added.at : std::max(suspect.lastCrash, added.at);
    const bool known = std::any_of(suspect.crashes.begin(), suspect.crashes.end(), [&](const crash &other) {
        return isDuplicate(other, added);
    });
    if (known) {
        return false;
    }
    suspect.crashes.push_back(added);
    if (suspect.crashes.size() > m_limits.maxCrashes) {
        const std::size_t counted = partitionSequential(suspect.crashes);
        suspect.crashes.erase(counted < suspect.crashes.size()
                                  ? suspect.crashes.begin() + static_cast<std::ptrdiff_t>(counted)
                                  : suspect.crashes.begin());
    }
    return true;
}

bool suspect_table::isDuplicate(const crash &first, const crash &second) const
{
    const auto distance = first.at < second.at ? second.at - first.at : first.at - second.at;
    return first.target == second.target && distance < m_limits.duplicateWindow;
}

std::size_t suspect_table::partitionSequential(std::vector<crash> &crashes) const
{
    std::sort(crashes.begin(), crashes.end(), [](const crash &left, const crash &right) {
        return left.at < right.at;
    });
    std::vector<crash> counted;
    std::vector<crash> overlapping;
    for (const crash &next : crashes) {
        const bool counts = counted.empty() || next.at - next.runTime + m_limits.clockTolerance >= counted.back().at;
        (counts ? counted : overlapping).push_back(next);
    }
    crashes = counted;
    crashes.insert(crashes.end(), overlapping.begin(), overlapping.end());
    return counted.size();
}

std::size_t suspect_table::countSequential(std::vector<crash> crashes) const
{
    return partitionSequential(crashes);
}

void suspect_table::evict(core::monotonic_time now)
{
    auto evicted = std::find_if(m_order.begin(), m_order.end(), [&](std::uint64_t fingerprint) {
        return statusOf(fingerprint, now) != suspect_status::refused;
    });
    if (evicted == m_order.end()) {
        evicted = m_order.begin();
    }
    m_entries.erase(*evicted);
    m_order.erase(evicted);
}

void suspect_table::erase(std::uint64_t fingerprint)
{
    m_entries.erase(fingerprint);
    std::erase(m_order, fingerprint);
}

} // namespace medlarrack::suspects
