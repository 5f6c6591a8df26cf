#pragma once

#include <medlarrack/catalog/route.hpp>

#include <chrono>
#include <cstdint>

namespace medlarrack::gateway {

/// What is known of an attempt that ended without an answer to pass on.
enum class attempt_outcome {
    /// No byte of it was read, or the replica states that it did not and will not run it.
    not_run,
    /// It may have run.
    unknown,
};

/// What has become of a request so far.
struct attempt_history
{
    /// Attempts that may have run.
    std::uint32_t runs = 0;
    /// Attempts that did not run.
    std::uint32_t rejections = 0;
};

/// Whether a request may be sent to another replica after an attempt ended. The retry budget is asked besides.
[[nodiscard]] bool mayRetry(const catalog::route &route, attempt_outcome end, const attempt_history &history);

/// How long the first event or the answer of a request that may run again is waited for before another replica is
/// tried.
[[nodiscard]] std::chrono::milliseconds answerTimeout(const catalog::route &route);

/// For how long callers wait for the first event of a stream, or the next one, before they leave.
[[nodiscard]] std::chrono::milliseconds callerIdleTimeout(const catalog::route &route);

/// The same for the next event of a stream.
[[nodiscard]] std::chrono::milliseconds eventGapTimeout(const catalog::route &route);

} // namespace medlarrack::gateway
