#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/instances/instance.hpp>

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace medlarrack::instances {

/// An instance list as read once. Immutable, sorted by id.
struct instance_list
{
    /// When the platform made it, by the platform's clock.
    core::wall_time asOf{};
    std::vector<instance> instances;
};

/// What this process knows of the fleet: the newest instance list, corrected by what it hears first hand ("leaving" is
/// believed from whoever says it first and not taken back by an older list). Thread-safe; its mutex is a leaf in the
/// lock order.
class view
{
public:
    view();
    ~view();
    view(const view &) = delete;
    view &operator=(const view &) = delete;

    /// Takes a list; an older one (by asOf) is ignored. Of entries with the same id the first counts, and it leaves
    /// when any of them does. Returns whether any instance changed.
    bool apply(instance_list list, core::monotonic_time now);
    /// An instance said itself that it is leaving. The incarnation is that of the process that said so; 0 when not
    /// known.
    void markLeaving(std::string_view id, std::uint64_t incarnation = 0);
    /// A process of an instance said itself that it takes work. Takes back what an earlier incarnation of it said, but
    /// not what the platform's list says.
    void markServing(std::string_view id, std::uint64_t incarnation);

    /// The current list, with corrections. Never null; shared, so taking it costs no copy.
    [[nodiscard]] std::shared_ptr<const instance_list> current() const;
    /// When a list that wasn't older than the current one was last read; nothing before the first. The list's own age
    /// is told by asOf.
    [[nodiscard]] std::optional<core::monotonic_time> lastRead() const;
    /// Instances of a target group, those leaving included, sorted by id.
    [[nodiscard]] std::vector<instance> group(std::string_view name) const;
    [[nodiscard]] std::optional<instance> find(std::string_view id) const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::instances
