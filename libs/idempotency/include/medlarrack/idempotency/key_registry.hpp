#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/instance_ref.hpp>
#include <medlarrack/idempotency/action.hpp>
#include <medlarrack/idempotency/run_result.hpp>
#include <medlarrack/idempotency/seal.hpp>
#include <medlarrack/idempotency/settings.hpp>

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace medlarrack::idempotency {

/// Decides which non-idempotent requests a sidecar runs, so that each idempotency key runs at most once among all
/// replicas of the target group. Takes events with the wall-clock time and returns the actions to perform. Not
/// thread-safe.
///
/// An unbound key runs here only if
/// (1) it was created after this incarnation started and after the time up to which the registry's records may be
///     incomplete; see minCreationTime(),
/// (2) this instance is in an instance list that is younger than the list lease, and
/// (3) every other known replica has sealed the key and has complete records since before the key was created.
/// A key bound to this incarnation is exempt, since no other incarnation may run it; it must only be newer than all
/// evicted records.
class key_registry
{
public:
    key_registry(settings options, core::instance_ref self, core::wall_time started);
    ~key_registry();
    key_registry(const key_registry &) = delete;
    key_registry &operator=(const key_registry &) = delete;

    /// An instance list was read. members are the ids of the group's instances, including this one if it is listed.
    [[nodiscard]] action_list onInstanceList(core::wall_time asOf, std::span<const std::string> members,
                                             core::wall_time now);
    /// A request with this key arrived. The waiter gets a send_answer or send_refusal in these or later actions.
    [[nodiscard]] action_list submit(std::string_view key, waiter_id waiter, core::wall_time now);
    /// Removes a waiter that no longer needs an answer. A run in progress continues.
    void removeWaiter(std::string_view key, waiter_id waiter);
    /// Another replica requests a seal. If this replica yields the key to it, the actions refuse the key's waiters.
    [[nodiscard]] seal onSealRequest(std::string_view requesterId, std::string_view key, core::wall_time now,
                                     action_list &actions);
    [[nodiscard]] action_list onSealReply(std::string_view memberId, std::string_view key, const seal &reply,
                                          core::wall_time now);
    /// A replica was unreachable or did not answer.
    [[nodiscard]] action_list onSealFailed(std::string_view memberId, std::string_view key, core::wall_time now);
    [[nodiscard]] action_list onRunEnded(std::string_view key, run_result result, core::wall_time now);
    /// Abandons keys whose seals were not collected within the seal timeout.
    [[nodiscard]] action_list onTimer(core::wall_time now);

    /// Number of records.
    [[nodiscard]] std::size_t size() const;
    /// Unbound keys that were created before this time and have no record are refused with outcome "unknown".
    [[nodiscard]] core::wall_time minCreationTime() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::idempotency
