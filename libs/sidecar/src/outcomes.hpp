#pragma once

#include "active_request.hpp"

#include <medlarrack/engine/target_driver.hpp>
#include <medlarrack/idempotency/action.hpp>
#include <medlarrack/peer/messages.hpp>
#include <medlarrack/sidecar/scheduler.hpp>

/// What may truthfully be said of requests that have no whole answer.
namespace medlarrack::sidecar::detail {

/// Of a request that was never given to the target.
[[nodiscard]] peer::run_refused notRun(const core::reason &why, bool tryElsewhere);
[[nodiscard]] peer::run_refused notRun(const refusal &refused);
/// Of a request whose key allows no run.
[[nodiscard]] peer::run_refused keyRefused(const idempotency::send_refusal &refused);
/// Of a request that was given to the target and ended without its answer.
[[nodiscard]] peer::run_refused failedRun(const active_request &request, const engine::call_result &result);
/// Whether the end of a call may mean that the target has crashed.
[[nodiscard]] bool mayIndicateCrash(const engine::call_result &result);

} // namespace medlarrack::sidecar::detail
