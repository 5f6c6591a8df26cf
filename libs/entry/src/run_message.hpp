#pragma once

#include "call.hpp"

#include <medlarrack/peer/messages.hpp>

#include <chrono>

namespace medlarrack::entry {

/// Creates the message that makes a sidecar run a call, with the defaults of a first attempt. timeLeft is the time
/// until the caller's deadline. The sidecar gets a slightly earlier deadline, so that its refusal, which may prove that
/// nothing ran, arrives before the entry ends the request.
[[nodiscard]] peer::run_request makeRunRequest(const call &request, std::chrono::nanoseconds timeLeft);

} // namespace medlarrack::entry
