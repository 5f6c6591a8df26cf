#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/instances/instance.hpp>

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace medlarrack::instances {

/// An instance list as read from the platform. Lists returned by a view are sorted by id.
struct instance_list
{
    /// When the platform created the list, by the platform's clock.
    core::wall_time asOf{};
    std::vector<instance> instances;
};

/// This process's view of the fleet: the newest instance list, corrected by what instances report about themselves. An
/// instance counts as leaving as soon as either the list or the instance says so, and a list doesn't undo the
/// instance's own report. Thread-safe; its mutex is a leaf in the lock order.
class view
{
public:
    view();
    ~view();
    view(const view &) = delete;
    view &operator=(const view &) = delete;

    /// Applies a list; a list older than the current one (by asOf) is ignored. Of entries with the same id the first is
    /// kept, and is leaving if any of them is. Returns whether any instance changed.
    bool apply(instance_list list, core::monotonic_time now);
    /// Records an instance's own report that it is leaving. The incarnation is that of the reporting process; 0 when
    /// unknown.
    void markLeaving(std::string_view id, std::uint64_t incarnation = 0);
    /// Records an instance's own report that it accepts requests. Clears a leaving report of an earlier incarnation,
    /// but doesn't override the platform's list.
    void markServing(std::string_view id, std::uint64_t incarnation);

    /// The current list, with corrections. Never null; shared without a copy.
    [[nodiscard]] std::shared_ptr<const instance_list> current() const;
    /// When a list that wasn't older than the current one was last read; nullopt before the first. For the age of the
    /// list itself see asOf.
    [[nodiscard]] std::optional<core::monotonic_time> lastRead() const;
    /// Instances of a target group, including those that are leaving, sorted by id.
    [[nodiscard]] std::vector<instance> group(std::string_view name) const;
    [[nodiscard]] std::optional<instance> find(std::string_view id) const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::instances
