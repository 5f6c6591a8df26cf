#pragma once

#include <medlarrack/core/clock.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::idempotency::detail {

/// How a new instance list changed the set.
struct membership_change
{
    std::vector<std::string> added;
    std::vector<std::string> removed;
    /// This instance is listed now and was not in the list before.
    bool joined = false;
};

/// The other replicas of this target group that must be asked: those in the newest instance list, and those that have
/// asked for a seal but are not in it yet.
class replica_set
{
public:
    explicit replica_set(std::string selfId);

    /// Takes a list; nothing when it isn't newer than the last one. A replica that introduced itself stays until a list
    /// made after its introduction, by more than the clock guard, lacks it.
    [[nodiscard]] std::optional<membership_change> apply(core::wall_time asOf, std::span<const std::string> listed,
                                                         std::chrono::milliseconds clockSkewMargin);
    /// A replica asked for a seal.
    void introduce(std::string_view id, core::wall_time now);

    [[nodiscard]] std::vector<std::string> members() const;
    /// Whether the newest list names this instance and is younger than the lease.
    [[nodiscard]] bool isListed(core::wall_time now, std::chrono::milliseconds lease) const;

private:
    struct member
    {
        bool listed = false;
        core::wall_time introducedAt{};
    };

    [[nodiscard]] std::vector<std::string> removeMissing(core::wall_time asOf, std::span<const std::string> listed,
                                                         std::chrono::milliseconds clockSkewMargin);

    std::string m_selfId;
    bool m_selfListed = false;
    std::optional<core::wall_time> m_asOf;
    std::map<std::string, member, std::less<>> m_members;
};

} // namespace medlarrack::idempotency::detail
