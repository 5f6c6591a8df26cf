#pragma once

#include <medlarrack/core/clock.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::idempotency::detail {

/// Changes made by a new instance list.
struct membership_change
{
    std::vector<std::string> added;
    std::vector<std::string> removed;
    /// This instance is listed and was not listed before.
    bool selfJoined = false;
};

/// The other replicas of the target group whose seals are required: those in the newest instance list, and those that
/// have requested a seal but are not listed yet.
class replica_set
{
public:
    explicit replica_set(std::string selfId);

    /// Applies an instance list. Returns no value if the list isn't newer than the last one. An unlisted replica is
    /// removed only by a list that lacks it and is newer than its first request by more than the clock skew margin.
    [[nodiscard]] std::optional<membership_change> applyList(core::wall_time asOf, std::span<const std::string> listed,
                                                             std::chrono::milliseconds clockSkewMargin);
    /// Adds a replica that requested a seal, if it isn't a member yet.
    void addUnlisted(std::string_view id, core::wall_time now);

    [[nodiscard]] std::vector<std::string> members() const;
    /// Whether the newest list names this instance and is younger than the lease.
    [[nodiscard]] bool isSelfListed(core::wall_time now, std::chrono::milliseconds lease) const;

private:
    struct member
    {
        bool listed = false;
        core::wall_time firstSeenAt{};
    };

    [[nodiscard]] std::vector<std::string> removeMissing(core::wall_time asOf, std::span<const std::string> listed,
                                                         std::chrono::milliseconds clockSkewMargin);

    std::string m_selfId;
    bool m_selfListed = false;
    std::optional<core::wall_time> m_asOf;
    std::map<std::string, member, std::less<>> m_members;
};

} // namespace medlarrack::idempotency::detail
