#pragma once

#include "active_request.hpp"

#include <medlarrack/engine/target_driver.hpp>
#include <medlarrack/idempotency/action.hpp>
#include <medlarrack/peer/messages.hpp>
#include <medlarrack/sidecar/scheduler.hpp>

/// Refusal messages for requests without a complete answer.
namespace medlarrack::sidecar::detail {

/// For a request that was never sent to the target.
[[nodiscard]] peer::run_refused notRun(const core::reason &why, bool tryElsewhere);
[[nodiscard]] peer::run_refused notRun(const refusal &refused);
/// For a request whose idempotency key must not run here.
[[nodiscard]] peer::run_refused keyRefused(const idempotency::send_refusal &refused);
/// For a request that was passed to the driver and ended without a complete answer.
[[nodiscard]] peer::run_refused failedRun(const active_request &request, const engine::call_result &result);
/// Whether the call may have ended because the target crashed.
[[nodiscard]] bool mayIndicateCrash(const engine::call_result &result);

} // namespace medlarrack::sidecar::detail
