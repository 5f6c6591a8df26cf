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

/// Homes kept per adapter, more than demand usually asks for, so that some are left when others fail.
inline constexpr std::size_t maxHomes = 8;
/// With fewer homes left than this they are chosen anew.
inline constexpr std::size_t fewHomes = 4;
/// Targets kept per adapter as holding it.
inline constexpr std::size_t maxHolders = 8;

/// A target that holds an adapter, or will soon because a request for it was sent there.
struct holder
{
    target_index target = 0;
    bool confirmed = false;
    core::monotonic_time since{};
};

/// What is known of one adapter version.
struct adapter_record
{
    std::array<target_index, maxHomes> homes{};
    std::uint8_t homeCount = 0;
    bool homesKnown = false;
    std::uint32_t inFlight = 0;
    /// Smoothed number of requests in flight.
    float demand = 0;
    core::monotonic_time demandAt{};
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

    /// The record of an adapter with its homes chosen.
    adapter_record &withHomes(const target_table &targets, std::uint64_t adapter);
    /// The record of an adapter; its homes may not be chosen yet.
    adapter_record &record(std::uint64_t adapter);

    void onTargetsChanged(const target_table &targets, std::span<const target_index> added,
                          std::span<const target_index> removed);
    void addHolder(std::uint64_t adapter, holder value);
    /// Takes a target from an adapter's holders, unless it was told to load it after the given time.
    void dropHolder(std::uint64_t adapter, target_index target, core::monotonic_time sentBefore);

private:
    void chooseHomes(const target_table &targets, std::uint64_t adapter, adapter_record &record) const;
    void insertHome(const target_table &targets, std::uint64_t adapter, adapter_record &record,
                    target_index target) const;
    void makeRoom();

    std::size_t m_maxAdapters;
    std::unordered_map<std::uint64_t, adapter_record> m_records;
};

} // namespace medlarrack::routing::detail
