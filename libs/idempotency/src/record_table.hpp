#pragma once

#include "record.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace medlarrack::idempotency::detail {

/// The records of a registry, bounded: when full, the finished record with the oldest birth makes room, and the table
/// remembers that it knows nothing of keys as old as that one.
class record_table
{
public:
    explicit record_table(std::size_t maxRecords);
    record_table(const record_table &) = delete;
    record_table &operator=(const record_table &) = delete;

    [[nodiscard]] record *find(std::string_view key);
    /// Adds an empty record; null when the table is full of unfinished ones. The caller may send the key again after
    /// the table has evicted it, but not with a birth later than newestBirth.
    [[nodiscard]] record *add(std::string_view key, core::wall_time createdAt, core::wall_time newestCreationTime);
    void erase(std::string_view key);
    /// Keys being sealed.
    [[nodiscard]] std::vector<std::string> sealing() const;
    [[nodiscard]] std::size_t size() const;
    /// Keys born up to this time may have been evicted.
    [[nodiscard]] core::wall_time evictedUpTo() const;
    /// To be called whenever a record's state changes, with its state already set.
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
