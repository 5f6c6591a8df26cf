#include "record_table.hpp"

#include <algorithm>

namespace medlarrack::idempotency::detail {

record_table::record_table(std::size_t maxRecords)
    : m_maxRecords(maxRecords)
{
}

record *record_table::find(std::string_view key)
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

record *record_table::add(std::string_view key, core::wall_time createdAt, core::wall_time newestCreationTime)
{
    if (m_records.size() >= m_maxRecords && !evictOne()) {
        return nullptr;
    }
    record &added = m_records.emplace(std::string(key), record()).first->second;
    added.createdAt = createdAt;
    added.newestCreationTime = newestCreationTime;
    m_sealing.emplace(key);
    return &added;
}

void record_table::erase(std::string_view key)
{
    const auto found = m_records.find(key);
    if (found == m_records.end()) {
        return;
    }
    m_finished.erase({found->second.newestCreationTime, found->first});
    m_sealing.erase(found->first);
    m_records.erase(found);
}

std::vector<std::string> record_table::sealing() const
{
    return {m_sealing.begin(), m_sealing.end()};
}

std::size_t record_table::size() const
{
    return m_records.size();
}

core::wall_time record_table::evictedUpTo() const
{
    return m_evictedUpTo;
}

void record_table::onStateChanged(std::string_view key)
{
    const auto found = m_records.find(key);
    if (found == m_records.end()) {
        return;
    }
    if (found->second.state != record_state::sealing) {
        m_sealing.erase(found->first);
    }
    if (found->second.isFinished()) {
        m_finished.emplace(found->second.newestCreationTime, found->first);
    }
}

bool record_table::evictOne()
{
    if (m_finished.empty()) {
        return false;
    }
    const auto oldest = *m_finished.begin();
    m_evictedUpTo = std::max(m_evictedUpTo, oldest.first);
    erase(oldest.second);
    return true;
}

} // namespace medlarrack::idempotency::detail
