#pragma once

#include <chrono>
#include <cstddef>

namespace medlarrack::idempotency {

/// Times and bounds of a key registry; docs/AT-MOST-ONCE.md derives what each protects.
struct settings
{
    /// Twice the largest difference between the clocks of two processes.
    std::chrono::milliseconds clockSkewMargin{1'000};
    /// A sidecar runs unbound keys only while its instance list is younger than this.
    std::chrono::milliseconds listLease{15'000};
    /// How long after a replica's removal from the list its lease may still hold; not below listLease.
    std::chrono::milliseconds removalWait{15'000};
    /// How far in the future a key's birth may lie.
    std::chrono::milliseconds futureTolerance{500};
    /// Callers don't resend a key without birth time after this long.
    std::chrono::milliseconds opaqueKeyResendWindow{15 * 60'000};
    /// How long the other replicas have to answer.
    std::chrono::milliseconds sealTimeout{1'000};
    std::size_t maxRecords = 100'000;
    /// Larger answers are recorded without their body.
    std::size_t maxAnswerBytes = 16U << 10U;
};

} // namespace medlarrack::idempotency
