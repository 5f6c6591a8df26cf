#pragma once

#include <medlarrack/agent/engine_format.hpp>
#include <medlarrack/core/clock.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarrack::agent {

/// What the engine may hold, as the published state says.
struct engine_limits
{
    std::vector<std::string> models;
    std::uint32_t adapterSlots = 0;
};

/// Requests by adapter.
using use_counts = std::map<std::string, std::uint32_t, std::less<>>;

/// Decides on orders to one engine: loads the base model after a restart, loads wanted adapters, those that most
/// requests wait for first, replaces old versions, and makes room by unloading the adapter that nobody has used for the
/// longest time. Answers the pattern of many adapters by a Zipf law before few slots. No network, no clock; not
/// thread-safe.
class order_planner
{
public:
    void setLimits(engine_limits limits);
    /// The newest version of an adapter; older ones are ignored.
    void setRelease(std::string_view adapter, std::uint64_t version);
    /// A gateway's requests wait for an adapter.
    void want(std::string_view adapter, core::monotonic_time now);
    /// Adapters that a gateway's requests use or wait for; replaces what it said before. An empty list forgets it.
    void setInUse(std::string_view gateway, use_counts adapters, core::monotonic_time now);

    /// What the engine says now.
    void reported(engine_report report, core::monotonic_time now);
    /// The engine doesn't answer.
    void unreachable();

    /// The next order, if there is one to give. It counts as given until its end is told.
    [[nodiscard]] std::optional<engine_order> nextOrder(core::monotonic_time now);
    void ordered(const engine_order &order, order_result result, core::monotonic_time now);

    /// Whether something is on its way or waited for, so that the engine is to be asked often.
    [[nodiscard]] bool isActive() const;
    [[nodiscard]] bool isUp() const;
    /// Adapters waited for that are not on their way yet.
    [[nodiscard]] std::size_t waiting() const;
    /// Further adapters whose loads could begin at once: places that are free or hold what nobody uses, less those
    /// waited for.
    [[nodiscard]] std::size_t room(core::monotonic_time now) const;
    [[nodiscard]] const engine_report &report() const;

private:
    [[nodiscard]] std::optional<engine_order> nextModelOrder(core::monotonic_time now) const;
    [[nodiscard]] std::optional<engine_order> nextReplacement(core::monotonic_time now) const;
    [[nodiscard]] std::optional<engine_order> nextLoad(core::monotonic_time now);
    [[nodiscard]] std::size_t mayBeginLoads() const;
    [[nodiscard]] bool mayUnload(std::string_view adapter, core::monotonic_time now) const;
    [[nodiscard]] core::monotonic_time lastUse(std::string_view adapter) const;
    [[nodiscard]] std::optional<std::string> leastRecentlyUsed(core::monotonic_time now) const;
    [[nodiscard]] const std::string *mostWanted(core::monotonic_time now) const;
    [[nodiscard]] bool isInUse(std::string_view adapter) const;
    [[nodiscard]] std::uint32_t requestsFor(std::string_view adapter) const;
    [[nodiscard]] bool isOnItsWay(std::string_view adapter) const;
    [[nodiscard]] std::size_t occupied() const;
    [[nodiscard]] bool holdsNewest(std::string_view adapter) const;
    [[nodiscard]] std::uint64_t releaseOf(std::string_view adapter) const;
    [[nodiscard]] bool mayOrder(std::string_view key, core::monotonic_time now) const;

    engine_limits m_limits;
    engine_report m_report;
    bool m_up = false;
    catalog::adapter_versions m_releases;
    /// Adapters waited for, with the time at which they were last asked for.
    std::deque<std::pair<std::string, core::monotonic_time>> m_wanted;
    std::map<std::string, use_counts, std::less<>> m_inUse;
    std::map<std::string, core::monotonic_time, std::less<>> m_lastUsed;
    /// Loads accepted that no report shows yet, with the time of the order.
    std::map<std::string, core::monotonic_time, std::less<>> m_accepted;
    /// Adapters and models that aren't ordered again before a time.
    std::map<std::string, core::monotonic_time, std::less<>> m_notBefore;
};

} // namespace medlarrack::agent
