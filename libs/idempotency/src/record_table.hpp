#pragma once

#include "record.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace medlarrack::idempotency::detail {

/// The records of a registry, limited in number. When the table is full, the finished record with the oldest creation
/// time is evicted, and evictedUpTo() is raised to that time: records of keys created up to then may be missing.
class record_table
{
public:
    explicit record_table(std::size_t maxRecords);
    record_table(const record_table &) = delete;
    record_table &operator=(const record_table &) = delete;

    [[nodiscard]] record *find(std::string_view key);
    /// Adds an empty record. Returns null if the table is full of unfinished records. newestCreationTime is the latest
    /// creation time that the key may have if it is sent again after its eviction.
    [[nodiscard]] record *add(std::string_view key, core::wall_time createdAt, core::wall_time newestCreationTime);
    void erase(std::string_view key);
    /// Keys in state sealing.
    [[nodiscard]] std::vector<std::string> sealing() const;
    [[nodiscard]] std::size_t size() const;
    /// Records of keys created up to this time may have been evicted.
    [[nodiscard]] core::wall_time evictedUpTo() const;
    /// Must be called after each change of a record's state.
    void onStateChanged(std::string_view key);

private:
    [[nodiscard]] bool evictOne();

    std::size_t m_maxRecords;
    std::map<std::string, record, std::less<>> m_records;
    std::set<std::pair<core::wall_time, std::string>> m_finished;
    std::set<std::string, std::less<>> m_sealing;
    core::wall_time m_evictedUpTo{};
};

} // namespace medlarrack::idempotency::detail
