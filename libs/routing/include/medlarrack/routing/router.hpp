#pragma once

#include <medlarrack/routing/choice.hpp>
#include <medlarrack/routing/routing_policy.hpp>
#include <medlarrack/routing/target_table.hpp>

#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace medlarrack::routing {

/// Routes the requests of one target group: maintains the state of its targets and delegates decisions to a policy.
/// Not thread-safe.
class router
{
public:
    router(target_settings settings, std::unique_ptr<routing_policy> policy);

    /// Applies a new instance list: the group's instances and the number of live entries.
    void update(std::span<const instances::instance> listed, std::uint32_t entries, core::monotonic_time now);
    /// Excludes a target that announced its shutdown from further decisions. Returns false if the target is unknown or
    /// already marked.
    bool markLeaving(std::string_view id);
    /// Applies a load report. Returns false if the target is unknown or the report is stale.
    bool applyReport(std::string_view id, target_report report, core::monotonic_time now);
    /// Discards a target's report, for when its stream of reports has ended.
    void clearReport(std::string_view id);

    [[nodiscard]] std::optional<choice> choose(const routing_request &request);
    /// Records an attempt at a target. Must be followed by exactly one onAttemptEnded() with an equal request.
    void onAttemptSent(target_index index, const routing_request &request);
    void onAttemptEnded(target_index index, const routing_request &request, attempt_result result);

    [[nodiscard]] const target_table &targets() const;

private:
    target_table m_targets;
    std::unique_ptr<routing_policy> m_policy;
};

} // namespace medlarrack::routing
