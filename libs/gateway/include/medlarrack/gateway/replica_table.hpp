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

/// All replicas in the instance list, and the newest versions of adapters. Not thread-safe.
class replica_table
{
public:
    explicit replica_table(std::string dataCentre);

    /// Takes a record unless it is older than the one held; says whether it was taken. A replica at whose address a
    /// later one has started is gone, whatever the list says.
    bool update(catalog::replica_record record, core::monotonic_time now);
    /// A replica has left the list. With a grace, because the store was away meanwhile, it serves on for that long
    /// unless it is listed again.
    void remove(std::string_view id, std::chrono::milliseconds grace, core::monotonic_time now);
    /// Removes all replicas that a whole list doesn't name.
    void removeUnlisted(std::span<const std::string> ids, std::chrono::milliseconds grace, core::monotonic_time now);
    /// A replica itself said that the start of it which had a request is leaving; later records of that start don't
    /// take it back. False if that was known.
    bool markLeaving(std::string_view id, std::uint64_t startedAtMs);
    /// Carries out removals that are due.
    void removeExpired(core::monotonic_time now);

    [[nodiscard]] replica_ptr find(std::string_view id) const;
    [[nodiscard]] std::span<const replica_ptr> findByService(std::string_view service) const;
    [[nodiscard]] const std::map<std::string, replica_ptr, std::less<>> &all() const;

    /// A new version of an adapter was published; older ones are ignored. Says whether it was taken.
    bool updateVersion(std::string_view adapter, std::uint64_t version);
    /// 0 if none was published.
    [[nodiscard]] std::uint64_t newestVersion(std::string_view adapter) const;
    [[nodiscard]] const catalog::adapter_versions &releases() const;
    /// Grows with each release taken; 0 before the first.
    [[nodiscard]] std::uint64_t releaseCount() const;

private:
    /// Drops the replica that an address had before; false if the record is the one that is outdated.
    bool replaceAtAddress(const catalog::replica_record &record);
    void drop(std::string_view id);
    void addToService(const replica_ptr &added);
    [[nodiscard]] bool hasLeft(const catalog::replica_record &record) const;

    std::string m_dataCentre;
    std::map<std::string, replica_ptr, std::less<>> m_replicas;
    std::map<std::string, std::vector<replica_ptr>, std::less<>> m_services;
    catalog::adapter_versions m_releases;
    std::uint64_t m_releaseCount = 0;
    /// Starts that said themselves that they leave, also of replicas not listed now; and in the order of being told.
    std::map<std::string, std::uint64_t, std::less<>> m_left;
    std::deque<std::string> m_leftOrder;
};

} // namespace medlarrack::gateway
