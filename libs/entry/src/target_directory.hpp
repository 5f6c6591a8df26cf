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

/// A sidecar whose load may be watched.
struct watchable
{
    std::string id;
    peer::endpoint endpoint;
    core::monotonic_time usedAt{};
};

/// The routers of all target groups, kept in step with the instance view. Thread-safe. Lock order: the directory's
/// mutex, then one group's mutex, then leaves (view, recorder).
class target_directory
{
public:
    target_directory(const entry_settings &settings, instances::view &view, const core::clock &clock,
                     trace::recorder &trace);
    ~target_directory();
    target_directory(const target_directory &) = delete;
    target_directory &operator=(const target_directory &) = delete;

    /// Chooses a target of a group and counts an attempt there; ended() follows once with an equal query.
    [[nodiscard]] std::optional<chosen_target> choose(std::string_view group, const routing::routing_request &asked);
    /// As choose(), but the target named, if it still takes work.
    [[nodiscard]] std::optional<chosen_target> again(std::string_view group, std::string_view id,
                                                     const routing::routing_request &asked);
    /// Makes an idempotency key bound to a target of the group that could take a request now; an unbound one while no
    /// target has told its incarnation. Counts no attempt.
    [[nodiscard]] std::string makeKey(std::string_view group, const routing::routing_request &asked);
    void ended(std::string_view group, routing::target_index target, const routing::routing_request &asked,
               routing::attempt_result result, std::string_view cause);

    void takeReport(std::string_view id, const peer::load_report &report);
    void loseReport(std::string_view id);
    /// A sidecar said itself that it is leaving. The incarnation is 0 when not known.
    void markLeaving(std::string_view id, std::uint64_t incarnation, std::string_view cause);

    /// All listed sidecars.
    [[nodiscard]] std::vector<watchable> sidecars();
    /// {"<group>": [{target}, ..]} with at most so many targets per group.
    [[nodiscard]] std::string debugJson(std::size_t maxTargets);

private:
    struct group_entry;

    /// Takes a new instance list, if there is one.
    void refresh();
    [[nodiscard]] std::shared_ptr<group_entry> find(std::string_view group);
    [[nodiscard]] std::shared_ptr<group_entry> groupOf(std::string_view id);
    [[nodiscard]] std::shared_ptr<group_entry> makeGroup() const;
    void rebuild(const instances::instance_list &list);

    const entry_settings &m_settings;
    instances::view &m_view;
    const core::clock &m_clock;
    trace::recorder &m_trace;
    std::shared_mutex m_mutex;
    std::shared_ptr<const instances::instance_list> m_list;
    std::map<std::string, std::shared_ptr<group_entry>, std::less<>> m_groups;
    /// Group of each sidecar.
    std::map<std::string, std::string, std::less<>> m_groupOf;
};

} // namespace medlarrack::entry
