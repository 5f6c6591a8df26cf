#pragma once

#include <medlarrack/core/instance_ref.hpp>
#include <medlarrack/core/outcome.hpp>
#include <medlarrack/idempotency/recorded_answer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace medlarrack::idempotency {

/// Identifies one request that waits for the result of a key.
using waiter_id = std::uint64_t;

/// Request a seal from another replica. The caller reports the result with onSealReply() or onSealFailed().
struct ask_seal
{
    std::string memberId;
    std::string key;
};

/// Run the request of this key now. The caller reports the result with onRunEnded().
struct start_run
{
    std::string key;
};

/// Send the recorded answer to a waiter.
struct send_answer
{
    waiter_id waiter = 0;
    std::shared_ptr<const recorded_answer> answer;
    /// False only for the waiter whose own request was run.
    bool replayed = true;
};

/// Refuse the request of a waiter.
struct send_refusal
{
    waiter_id waiter = 0;
    core::outcome outcome = core::outcome::unknown;
    std::string code;
    /// The replica that holds the key, if it is another one.
    std::string holderId;
    /// Delay after which a resend of the key may succeed; zero if a resend isn't useful.
    std::chrono::milliseconds retryAfter{0};
};

using action = std::variant<ask_seal, start_run, send_answer, send_refusal>;
using action_list = std::vector<action>;

} // namespace medlarrack::idempotency
