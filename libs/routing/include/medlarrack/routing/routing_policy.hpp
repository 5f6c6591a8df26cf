#pragma once

#include <medlarrack/routing/choice.hpp>
#include <medlarrack/routing/routing_request.hpp>

#include <cstdint>
#include <optional>
#include <span>

namespace medlarrack::routing {

class target_table;

/// Chooses the target of each request. A policy may keep state of its own, updated by the on*() events. Not
/// thread-safe; each group has its own policy object.
class routing_policy
{
public:
    routing_policy() = default;
    routing_policy(const routing_policy &) = delete;
    routing_policy &operator=(const routing_policy &) = delete;
    virtual ~routing_policy() = default;

    /// Chooses a target that is neither leaving nor excluded. Returns no value if there is none.
    [[nodiscard]] virtual std::optional<choice> choose(const target_table &targets, const routing_request &request) = 0;

    /// Targets were added to or removed from the instance list. Indices are reused: an added target may have the index
    /// of one removed earlier.
    virtual void onTargetsChanged(const target_table &targets, std::span<const target_index> added,
                                  std::span<const target_index> removed);
    /// A load report was applied. Both spans hold sorted hashes of the adapters loaded or loading, before the report
    /// and according to it.
    virtual void onReport(const target_table &targets, target_index index, std::span<const std::uint64_t> before,
                          std::span<const std::uint64_t> adapters, core::monotonic_time now);
    virtual void onAttemptSent(const target_table &targets, target_index index, const routing_request &request);
    virtual void onAttemptEnded(const target_table &targets, target_index index, const routing_request &request);
    /// Sets the number of live entries that route to the group. Each entry is assumed to see an equal part of the
    /// demand.
    virtual void setEntryCount(std::uint32_t entries);
};

} // namespace medlarrack::routing
