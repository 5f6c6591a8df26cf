#pragma once

#include <medlarrack/catalog/route.hpp>
#include <medlarrack/gateway/replica_choice.hpp>

#include <chrono>
#include <cstdint>

namespace medlarrack::gateway {

/// Outcome of an attempt that ended without an answer to relay.
enum class attempt_outcome {
    /// The replica read no byte of the request, or states that it did not and will not run it.
    not_run,
    /// The request may have run.
    unknown,
};

/// Attempts made so far for one request.
struct attempt_history
{
    /// Attempts that may have run.
    std::uint32_t runs = 0;
    /// Attempts that did not run.
    std::uint32_t rejections = 0;
};

/// Whether a request may be sent to another replica after an attempt ended. Doesn't consider the retry budget.
[[nodiscard]] bool mayRetry(const catalog::route &route, attempt_outcome end, const attempt_history &history);

/// Time without an answer or first event after which a request that may run again is sent to another replica.
[[nodiscard]] std::chrono::milliseconds answerTimeout(const catalog::route &route);

/// Time without an event after which callers are expected to abandon a stream.
[[nodiscard]] std::chrono::milliseconds callerIdleTimeout(const catalog::route &route);

/// Time without a further event after which a stream that may run again is resumed at another replica.
[[nodiscard]] std::chrono::milliseconds eventGapTimeout(const catalog::route &route);

/// Whether a request that no replica can take now waits for one, as far as the time for that lasts. One that has not
/// run is refused rather than queued where its caller can go elsewhere; one that may have run would be lost.
[[nodiscard]] bool awaitsReplica(const attempt_history &history, const replica_choice &choice, bool isCallerRetry);

} // namespace medlarrack::gateway
