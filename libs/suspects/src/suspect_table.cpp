#include <medlarrack/core/hash.hpp>
#include <medlarrack/suspects/suspect_table.hpp>

#include <algorithm>
#include <string>

namespace medlarrack::suspects {

namespace {

std::uint64_t targetHash(const core::instance_ref &target)
{
    return core::hash64(target.id, target.incarnation);
}

} // namespace

suspect_table::suspect_table(suspect_limits limits)
    : m_limits(limits)
{
    m_limits.crashesToRefuse = std::max<std::size_t>(m_limits.crashesToRefuse, 1);
    m_limits.maxFingerprints = std::max<std::size_t>(m_limits.maxFingerprints, 1);
}

standing suspect_table::standingOf(std::uint64_t fingerprint, core::monotonic_time now) const
{
    const std::size_t count = crashes(fingerprint, now);
    if (count >= m_limits.crashesToRefuse) {
        return standing::refused;
    }
    return count == 0 ? standing::clear : standing::suspect;
}

std::size_t suspect_table::crashes(std::uint64_t fingerprint, core::monotonic_time now) const
{
    const entry *found = find(fingerprint, now);
    return found == nullptr ? 0 : found->crashes.size();
}

void suspect_table::crashed(std::uint64_t fingerprint, const core::instance_ref &target, core::monotonic_time now)
{
    addCrash(findOrAdd(fingerprint, now), {targetHash(target), now});
}

void suspect_table::answered(std::uint64_t fingerprint, core::monotonic_time now)
{
    if (standingOf(fingerprint, now) == standing::suspect) {
        m_entries.erase(fingerprint);
        std::erase(m_order, fingerprint);
    }
}

std::vector<suspect_record> suspect_table::records(core::monotonic_time now) const
{
    std::vector<suspect_record> result;
    for (const std::uint64_t fingerprint : m_order) {
        const entry *found = find(fingerprint, now);
        if (found == nullptr) {
            continue;
        }
        suspect_record &record = result.emplace_back();
        record.fingerprint = fingerprint;
        for (const crash &known : found->crashes) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - known.at);
            record.crashes.push_back({known.target, age});
        }
    }
    return result;
}

void suspect_table::merge(std::span<const suspect_record> others, core::monotonic_time now)
{
    for (const suspect_record &other : others) {
        for (const crash_record &told : other.crashes) {
            // A negative age would keep a suspicion for ever.
            const auto age = std::max(told.age, std::chrono::milliseconds(0));
            if (age < m_limits.fadeAfter) {
                addCrash(findOrAdd(other.fingerprint, now), {told.target, now - age});
            }
        }
    }
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
        m_entries.erase(m_order.front());
        m_order.pop_front();
    }
    m_order.push_back(fingerprint);
    return m_entries[fingerprint];
}

void suspect_table::addCrash(entry &to, crash added) const
{
    to.lastCrash = to.crashes.empty() ? added.at : std::max(to.lastCrash, added.at);
    const bool known = std::any_of(to.crashes.begin(), to.crashes.end(), [&](const crash &other) {
        return isSame(other, added);
    });
    // More crashes than suffice for a refusal change nothing.
    if (!known && to.crashes.size() < m_limits.crashesToRefuse) {
        to.crashes.push_back(added);
    }
}

bool suspect_table::isSame(const crash &first, const crash &second) const
{
    const auto apart = first.at < second.at ? second.at - first.at : first.at - second.at;
    return first.target == second.target && apart < m_limits.sameCrash;
}

} // namespace medlarrack::suspects
