#pragma once

#include <medlarrack/routing/target_table.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace medlarrack::routing::detail {

/// Homes kept per adapter: more than demand usually requires, so that some remain when others fail.
inline constexpr std::size_t maxHomes = 8;
/// If removals leave an adapter with fewer homes than this, they are recomputed.
inline constexpr std::size_t minHomes = 4;
/// Holders kept per adapter.
inline constexpr std::size_t maxHolders = 8;

/// A target that holds an adapter or is expected to load it because a request for it was sent there.
struct holder
{
    target_index target = 0;
    /// A load report of the target lists the adapter.
    bool confirmed = false;
    core::monotonic_time lastSentAt{};
};

/// Routing state of one adapter version.
struct adapter_record
{
    /// The candidates with the highest rendezvous weights, highest first.
    std::array<target_index, maxHomes> homes{};
    std::uint8_t homeCount = 0;
    bool homesValid = false;
    std::uint32_t inFlight = 0;
    /// Exponentially smoothed number of requests in flight.
    float demand = 0;
    core::monotonic_time demandUpdatedAt{};
    std::vector<holder> holders;

    [[nodiscard]] std::span<const target_index> homeList() const
    {
        return {homes.data(), homeCount};
    }
};

/// Homes, holders and demand of each adapter.
class adapter_table
{
public:
    explicit adapter_table(std::size_t maxAdapters);

    /// Returns the record of an adapter and computes its homes if necessary.
    adapter_record &recordWithHomes(const target_table &targets, std::uint64_t adapter);
    /// Returns the record of an adapter. Its homes may not have been computed.
    adapter_record &record(std::uint64_t adapter);

    void onTargetsChanged(const target_table &targets, std::span<const target_index> added,
                          std::span<const target_index> removed);
    void addHolder(std::uint64_t adapter, holder value);
    /// Removes a target from an adapter's holders. If a request for the adapter was sent there at or after sentBefore,
    /// the target stays as an unconfirmed holder.
    void removeHolder(std::uint64_t adapter, target_index target, core::monotonic_time sentBefore);

private:
    void chooseHomes(const target_table &targets, std::uint64_t adapter, adapter_record &record) const;
    void insertHome(const target_table &targets, std::uint64_t adapter, adapter_record &record,
                    target_index target) const;
    void evictIdle();

    std::size_t m_maxAdapters;
    std::unordered_map<std::uint64_t, adapter_record> m_records;
};

} // namespace medlarrack::routing::detail
