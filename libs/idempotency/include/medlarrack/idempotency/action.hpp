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

/// Names one request that waits for the fate of a key.
using waiter_id = std::uint64_t;

/// Ask another replica for its seal; answered by onSealReply() or onSealFailed().
struct ask_seal
{
    std::string memberId;
    std::string key;
};

/// Run the request of this key now; answered by onRunEnded().
struct start_run
{
    std::string key;
};

/// Give a waiter the recorded answer.
struct send_answer
{
    waiter_id waiter = 0;
    std::shared_ptr<const recorded_answer> answer;
    /// False for the waiter whose own request was run.
    bool replayed = true;
};

/// Refuse a waiter.
struct send_refusal
{
    waiter_id waiter = 0;
    core::outcome outcome = core::outcome::unknown;
    std::string code;
    /// The replica that has the key, when it isn't this one.
    std::string holderId;
    /// When the same key may usefully be sent again; zero when that is of no use.
    std::chrono::milliseconds retryAfter{0};
};

using action = std::variant<ask_seal, start_run, send_answer, send_refusal>;
using action_list = std::vector<action>;

} // namespace medlarrack::idempotency
