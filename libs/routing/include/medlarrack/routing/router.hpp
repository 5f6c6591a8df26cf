#pragma once

#include <medlarrack/routing/choice.hpp>
#include <medlarrack/routing/routing_policy.hpp>
#include <medlarrack/routing/target_table.hpp>

#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace medlarrack::routing {

/// Routes the requests of one target group: keeps what is known of its targets and asks a policy. Not thread-safe.
class router
{
public:
    router(target_settings settings, std::unique_ptr<routing_policy> policy);

    /// Takes the group's instances from a new instance list, and the number of live entries.
    void update(std::span<const instances::instance> listed, std::uint32_t entries, core::monotonic_time now);
    /// A target said itself that it is leaving. False when that was known or the target isn't.
    bool markLeaving(std::string_view id);
    /// Takes a load report. False when the target isn't known or the report is an old one.
    bool applyReport(std::string_view id, target_report report, core::monotonic_time now);
    /// No further reports arrive from a target.
    void clearReport(std::string_view id);

    /// Chooses a target for a request.
    [[nodiscard]] std::optional<choice> choose(const routing_request &request);
    /// An attempt was sent to the target chosen; onAttemptEnded() follows once with an equal request.
    void onAttemptSent(target_index index, const routing_request &request);
    void onAttemptEnded(target_index index, const routing_request &request, attempt_result result);

    [[nodiscard]] const target_table &targets() const;

private:
    target_table m_targets;
    std::unique_ptr<routing_policy> m_policy;
};

} // namespace medlarrack::routing
