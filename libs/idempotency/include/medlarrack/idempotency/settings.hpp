#pragma once

#include <chrono>
#include <cstddef>

namespace medlarrack::idempotency {

/// Settings of key_registry. docs/AT-MOST-ONCE.md derives the times.
struct settings
{
    /// Margin for clock skew: twice the maximum difference between the clocks of two processes.
    std::chrono::milliseconds clockSkewMargin{1'000};
    /// Unbound keys run only while the sidecar's instance list is younger than this.
    std::chrono::milliseconds listLease{15'000};
    /// Maximum time for which the list lease of a removed replica may still be valid. Must not be below listLease.
    std::chrono::milliseconds removalWait{15'000};
    /// Maximum time by which a key's creation time may lie in the future.
    std::chrono::milliseconds futureTolerance{500};
    /// Assumed maximum time between a caller's first and last request with the same opaque key.
    std::chrono::milliseconds opaqueKeyResendWindow{15 * 60'000};
    /// Timeout for collecting the seals of the other replicas.
    std::chrono::milliseconds sealTimeout{1'000};
    std::size_t maxRecords = 100'000;
    /// Answers with a larger body are recorded without it.
    std::size_t maxAnswerBytes = 16U << 10U;
};

} // namespace medlarrack::idempotency
