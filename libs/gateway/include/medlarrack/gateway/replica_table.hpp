#pragma once

#include <medlarrack/gateway/replica.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::gateway {

using replica_ptr = std::shared_ptr<replica>;

/// All replicas in the instance list, and the newest published version of each adapter. Not thread-safe.
class replica_table
{
public:
    explicit replica_table(std::string dataCentre);

    /// Adds or updates a replica unless the record is older than the one held or the last one of a replica that was
    /// removed, as in a store that came back from a backup; returns whether it was applied. A replica is dropped when
    /// another one of its service has started later at its address, even if the list still names it.
    bool update(catalog::replica_record record, core::monotonic_time now);
    /// Removes a replica that is no longer listed. A grace period, used after an outage of the store, keeps it in
    /// service for that long, and beyond if it is listed again.
    void remove(std::string_view id, std::chrono::milliseconds grace, core::monotonic_time now);
    /// Removes a replica whose record can't be read. Any record that can be read lists it again, also one that was held
    /// before.
    void forget(std::string_view id);
    /// Removes all replicas that a complete list doesn't contain; returns how many are missing from it.
    std::size_t removeUnlisted(std::span<const std::string> ids, std::chrono::milliseconds grace,
                               core::monotonic_time now);
    /// Marks a replica as leaving because it said so in an answer. Applies to the incarnation that got the request:
    /// later records of the same incarnation don't clear the mark. Returns whether a listed replica became leaving by
    /// this.
    bool markLeaving(std::string_view id, std::uint64_t startedAtMs);
    /// Removes replicas whose grace period is over.
    void removeExpired(core::monotonic_time now);

    [[nodiscard]] replica_ptr find(std::string_view id) const;
    [[nodiscard]] std::span<const replica_ptr> findByService(std::string_view service) const;
    [[nodiscard]] const std::map<std::string, replica_ptr, std::less<>> &all() const;

    /// Records a published version of an adapter if it is newer than the one known; returns whether it was recorded.
    bool updateVersion(std::string_view adapter, std::uint64_t version);
    /// 0 if no version was published.
    [[nodiscard]] std::uint64_t newestVersion(std::string_view adapter) const;
    /// Number of versions recorded; changes whenever a newestVersion() changes.
    [[nodiscard]] std::uint64_t releaseCount() const;

private:
    /// Erases an older replica at the record's address; returns false if the record itself is the older one.
    bool replaceAtAddress(const catalog::replica_record &record);
    void erase(std::string_view id);
    /// Erases a replica that has left the list and remembers its last record.
    void eraseUnlisted(std::string_view id);
    /// Remembers that an incarnation leaves, also while it isn't listed.
    void rememberLeaving(std::string_view id, std::uint64_t startedAtMs);
    [[nodiscard]] bool precedesRemoval(const catalog::replica_record &record) const;
    void addToService(const replica_ptr &added);
    [[nodiscard]] bool isMarkedLeaving(const catalog::replica_record &record) const;

    std::string m_dataCentre;
    std::map<std::string, replica_ptr, std::less<>> m_replicas;
    std::map<std::string, std::vector<replica_ptr>, std::less<>> m_services;
    catalog::adapter_versions m_releases;
    std::uint64_t m_releaseCount = 0;
    /// Start times of the incarnations marked as leaving, by replica id; replicas that aren't listed now are included.
    std::map<std::string, std::uint64_t, std::less<>> m_leavingStarts;
    /// Their ids in the order of marking, for eviction.
    std::deque<std::string> m_leavingOrder;

    struct last_record
    {
        std::uint64_t startedAtMs = 0;
        std::uint64_t sequence = 0;
    };

    /// The last records of removed replicas, by id.
    std::map<std::string, last_record, std::less<>> m_removed;
    /// Their ids in the order of removal, for eviction.
    std::deque<std::string> m_removedOrder;
};

} // namespace medlarrack::gateway
