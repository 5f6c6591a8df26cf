#pragma once

#include "call.hpp"

#include <medlarrack/peer/messages.hpp>

#include <chrono>

namespace medlarrack::entry {

/// The message that has a sidecar run a call, as its first attempt and for the first time. The time left is that until
/// the caller's deadline; the sidecar is given a little less, so that its refusal at its deadline, which may prove that
/// nothing ran, arrives before the entry gives up.
[[nodiscard]] peer::run_request makeRunRequest(const call &request, std::chrono::nanoseconds timeLeft);

} // namespace medlarrack::entry
