#pragma once

#include <medlarrack/routing/choice.hpp>
#include <medlarrack/routing/routing_request.hpp>

#include <cstdint>
#include <optional>
#include <span>

namespace medlarrack::routing {

class target_table;

/// Decides where a request goes. A policy may keep tables of its own, which it updates from the events below. Not
/// thread-safe; one policy object serves one group.
class routing_policy
{
public:
    routing_policy() = default;
    routing_policy(const routing_policy &) = delete;
    routing_policy &operator=(const routing_policy &) = delete;
    virtual ~routing_policy() = default;

    /// Chooses a target, never one that is leaving or excluded; nothing when there is none.
    [[nodiscard]] virtual std::optional<choice> choose(const target_table &targets, const routing_request &request) = 0;

    /// Targets were listed and unlisted. A place that became free may be among the added ones.
    virtual void onTargetsChanged(const target_table &targets, std::span<const target_index> added,
                                  std::span<const target_index> removed);
    /// A report was taken: the adapters (sorted hashes) loaded or loading before it and now.
    virtual void onReport(const target_table &targets, target_index index, std::span<const std::uint64_t> before,
                          std::span<const std::uint64_t> adapters, core::monotonic_time now);
    /// An attempt was sent to a target.
    virtual void onAttemptSent(const target_table &targets, target_index index, const routing_request &request);
    /// An attempt ended.
    virtual void onAttemptEnded(const target_table &targets, target_index index, const routing_request &request);
    /// Number of live entries that share the group; this process sees about one part in so many of the demand.
    virtual void setEntryCount(std::uint32_t entries);
};

} // namespace medlarrack::routing
