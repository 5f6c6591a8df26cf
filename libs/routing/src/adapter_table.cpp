#include "adapter_table.hpp"

#include <medlarrack/core/hash.hpp>

#include <algorithm>

namespace medlarrack::routing::detail {

namespace {

/// If more targets than this are added at once, homes are recomputed at their next use, which is cheaper than inserting
/// each target.
constexpr std::size_t maxIncrementalAdds = 16;

std::uint64_t weightOf(const target_table &targets, std::uint64_t adapter, target_index target)
{
    return core::rendezvousWeight(adapter, targets.at(target).idHash);
}

bool contains(std::span<const target_index> sorted, target_index target)
{
    return std::binary_search(sorted.begin(), sorted.end(), target);
}

void removeTargets(adapter_record &record, std::span<const target_index> removed)
{
    const auto homesEnd = record.homes.begin() + record.homeCount;
    const auto kept = std::remove_if(record.homes.begin(), homesEnd, [&](target_index target) {
        return contains(removed, target);
    });
    record.homeCount = static_cast<std::uint8_t>(kept - record.homes.begin());
    record.homesValid = record.homesValid && (kept == homesEnd || record.homeCount >= minHomes);
    std::erase_if(record.holders, [&](const holder &value) {
        return contains(removed, value.target);
    });
}

} // namespace

adapter_table::adapter_table(std::size_t maxAdapters)
    : m_maxAdapters(std::max<std::size_t>(maxAdapters, 1))
{
}

adapter_record &adapter_table::recordWithHomes(const target_table &targets, std::uint64_t adapter)
{
    adapter_record &found = record(adapter);
    if (!found.homesValid) {
        chooseHomes(targets, adapter, found);
    }
    return found;
}

adapter_record &adapter_table::record(std::uint64_t adapter)
{
    const auto found = m_records.find(adapter);
    if (found != m_records.end()) {
        return found->second;
    }
    if (m_records.size() >= m_maxAdapters) {
        evictIdle();
    }
    return m_records[adapter];
}

void adapter_table::onTargetsChanged(const target_table &targets, std::span<const target_index> added,
                                     std::span<const target_index> removed)
{
    if (added.empty() && removed.empty()) {
        return;
    }
    std::vector<target_index> sortedRemoved(removed.begin(), removed.end());
    std::sort(sortedRemoved.begin(), sortedRemoved.end());
    for (auto &[adapter, value] : m_records) {
        removeTargets(value, sortedRemoved);
        if (added.size() > maxIncrementalAdds) {
            value.homesValid = false;
            continue;
        }
        for (const target_index target : added) {
            if (value.homesValid && targets.isCandidate(target)) {
                insertHome(targets, adapter, value, target);
            }
        }
    }
}

void adapter_table::addHolder(std::uint64_t adapter, holder value)
{
    auto &holders = record(adapter).holders;
    for (holder &existing : holders) {
        if (existing.target == value.target) {
            existing.confirmed = existing.confirmed || value.confirmed;
            existing.lastSentAt = std::max(existing.lastSentAt, value.lastSentAt);
            return;
        }
    }
    if (holders.size() < maxHolders) {
        holders.push_back(value);
    }
}

void adapter_table::removeHolder(std::uint64_t adapter, target_index target, core::monotonic_time sentBefore)
{
    const auto found = m_records.find(adapter);
    if (found == m_records.end()) {
        return;
    }
    std::erase_if(found->second.holders, [&](const holder &value) {
        return value.target == target && value.lastSentAt < sentBefore;
    });
    for (holder &value : found->second.holders) {
        value.confirmed = value.confirmed && value.target != target;
    }
}

void adapter_table::chooseHomes(const target_table &targets, std::uint64_t adapter, adapter_record &record) const
{
    std::array<std::uint64_t, maxHomes> weights{};
    record.homeCount = 0;
    for (const target_index target : targets.candidates()) {
        const std::uint64_t weight = weightOf(targets, adapter, target);
        if (record.homeCount == maxHomes && weight <= weights.back()) {
            continue;
        }
        const std::size_t last = std::min<std::size_t>(record.homeCount, maxHomes - 1);
        std::size_t position = last;
        for (; position > 0 && weights[position - 1] < weight; --position) {
            weights[position] = weights[position - 1];
            record.homes[position] = record.homes[position - 1];
        }
        weights[position] = weight;
        record.homes[position] = target;
        record.homeCount = static_cast<std::uint8_t>(last + 1);
    }
    record.homesValid = true;
}

void adapter_table::insertHome(const target_table &targets, std::uint64_t adapter, adapter_record &record,
                               target_index target) const
{
    const std::uint64_t weight = weightOf(targets, adapter, target);
    std::size_t position = record.homeCount;
    while (position > 0 && weightOf(targets, adapter, record.homes[position - 1]) < weight) {
        --position;
    }
    if (position >= maxHomes) {
        return;
    }
    const std::size_t last = std::min<std::size_t>(record.homeCount, maxHomes - 1);
    for (std::size_t moved = last; moved > position; --moved) {
        record.homes[moved] = record.homes[moved - 1];
    }
    record.homes[position] = target;
    record.homeCount = static_cast<std::uint8_t>(last + 1);
}

void adapter_table::evictIdle()
{
    std::erase_if(m_records, [](const auto &item) {
        return item.second.inFlight == 0 && item.second.holders.empty();
    });
}

} // namespace medlarrack::routing::detail
