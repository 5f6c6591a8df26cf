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

/// Decides at one sidecar which non-idempotent requests it runs, so that among all replicas of its target group each
/// idempotency key runs at most once. Takes events with the wall-clock time and returns actions; not thread-safe.
///
/// A key runs here only if (1) it was born after this incarnation and after everything this registry may have missed,
/// (2) the instance list that names this instance is fresh, and (3) every other replica known has sealed the key and
/// has known of its own doings since before the key was born. A key bound to this incarnation needs none of these.
class key_registry
{
public:
    key_registry(settings options, core::instance_ref self, core::wall_time started);
    ~key_registry();
    key_registry(const key_registry &) = delete;
    key_registry &operator=(const key_registry &) = delete;

    /// A newer instance list was read: the ids of this group's instances, this one included if it is listed.
    [[nodiscard]] action_list onInstanceList(core::wall_time asOf, std::span<const std::string> members,
                                             core::wall_time now);
    /// A request with this key arrived. It is answered by send_answer or send_refusal, now or later.
    [[nodiscard]] action_list submit(std::string_view key, waiter_id waiter, core::wall_time now);
    /// A waiter has gone. A run in progress goes on.
    void removeWaiter(std::string_view key, waiter_id waiter);
    /// Another replica asks for a seal. The actions answer waiters of a key that is given up for the asker.
    [[nodiscard]] seal onSealRequest(std::string_view requesterId, std::string_view key, core::wall_time now,
                                     action_list &actions);
    [[nodiscard]] action_list onSealReply(std::string_view memberId, std::string_view key, const seal &reply,
                                          core::wall_time now);
    /// A replica could not be asked or did not answer.
    [[nodiscard]] action_list onSealFailed(std::string_view memberId, std::string_view key, core::wall_time now);
    [[nodiscard]] action_list onRunEnded(std::string_view key, run_result result, core::wall_time now);
    /// Gives up on replicas that don't answer in time.
    [[nodiscard]] action_list onTimer(core::wall_time now);

    /// Records kept.
    [[nodiscard]] std::size_t size() const;
    /// Unbound keys born before this time and not recorded are answered "unknown".
    [[nodiscard]] core::wall_time minCreationTime() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::idempotency
