#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/entry/entry_settings.hpp>
#include <medlarrack/instances/view.hpp>
#include <medlarrack/peer/client.hpp>
#include <medlarrack/routing/router.hpp>
#include <medlarrack/trace/recorder.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::entry {

/// A target chosen for an attempt.
struct chosen_target
{
    routing::choice decision;
    std::string id;
    peer::endpoint endpoint;
};

/// A sidecar to whose load reports the entry may subscribe.
struct watch_candidate
{
    std::string id;
    peer::endpoint endpoint;
    core::monotonic_time lastUsedAt{};
};

/// Holds the router of each target group and updates them from the instance view. Thread-safe. Lock order: the
/// directory's mutex, then one group's mutex, then those of the view and the recorder.
class target_directory
{
public:
    target_directory(const entry_settings &settings, instances::view &view, const core::clock &clock,
                     trace::recorder &trace);
    ~target_directory();
    target_directory(const target_directory &) = delete;
    target_directory &operator=(const target_directory &) = delete;

    /// Chooses a target of a group and records an attempt there. Must be followed by exactly one onAttemptEnded() with
    /// an equal request.
    [[nodiscard]] std::optional<chosen_target> choose(std::string_view group, const routing::routing_request &request);
    /// As choose(), but with the given target, if it still accepts work.
    [[nodiscard]] std::optional<chosen_target> chooseById(std::string_view group, std::string_view id,
                                                          const routing::routing_request &request);
    /// Creates an idempotency key bound to a target of the group that can accept a request now, or an unbound key if
    /// there is none or its incarnation is unknown. Records no attempt.
    [[nodiscard]] std::string makeKey(std::string_view group, const routing::routing_request &request);
    /// Records the end of an attempt that choose() or chooseById() recorded.
    void onAttemptEnded(std::string_view group, routing::target_index target, const routing::routing_request &request,
                        routing::attempt_result result, std::string_view cause);

    void applyReport(std::string_view id, const peer::load_report &report);
    /// Discards a target's report, for when its stream of reports has ended.
    void clearReport(std::string_view id);
    /// Records that a sidecar announced its shutdown. The incarnation is 0 if unknown.
    void markLeaving(std::string_view id, std::uint64_t incarnation, std::string_view cause);

    /// All listed sidecars.
    [[nodiscard]] std::vector<watch_candidate> sidecars();
    /// JSON object {"<group>": [{target}, ..]} with at most maxTargets targets per group.
    [[nodiscard]] std::string debugJson(std::size_t maxTargets);

private:
    struct target_group;

    /// Applies the view's instance list if it has changed.
    void refresh();
    [[nodiscard]] std::shared_ptr<target_group> find(std::string_view group);
    [[nodiscard]] std::shared_ptr<target_group> findGroupOfTarget(std::string_view id);
    [[nodiscard]] std::shared_ptr<target_group> makeGroup() const;
    void rebuild(const instances::instance_list &list);

    const entry_settings &m_settings;
    instances::view &m_view;
    const core::clock &m_clock;
    trace::recorder &m_trace;
    std::shared_mutex m_mutex;
    std::shared_ptr<const instances::instance_list> m_list;
    std::map<std::string, std::shared_ptr<target_group>, std::less<>> m_groups;
    /// Name of each sidecar's group, by instance id.
    std::map<std::string, std::string, std::less<>> m_groupNameById;
};

} // namespace medlarrack::entry
