#pragma once

#include <chrono>
#include <cstddef>

namespace medlarrack::config_sync {

/// Intervals and limits of the reads that keep a process's tickets and instance list up to date.
struct planner_settings
{
    /// Longest time that the service may hold a watch (a long poll for tickets) open.
    std::chrono::milliseconds watchWait{20'000};
    /// Interval at which a follower queries the readers of its data centre.
    std::chrono::milliseconds pollInterval{1'000};
    /// Interval at which a reader queries other readers.
    std::chrono::milliseconds readerCheckInterval{2'000};
    /// Shortest interval between two reads of the instance list by one process.
    std::chrono::milliseconds listInterval{2'000};
    /// Interval of a follower's own reads of the service while peers answer.
    std::chrono::milliseconds directInterval{600'000};
    /// Shortest interval of a follower's own reads while no peer answers.
    std::chrono::milliseconds fallbackInterval{5'000};
    /// Time without an answer from any peer after which a follower reads the service itself.
    std::chrono::milliseconds peerSilenceTimeout{3'000};
    /// Minimum time between the starts of two reads of the service by one process.
    std::chrono::milliseconds minSpacing{500};
    /// Initial and maximum backoff after a failed read of the service.
    std::chrono::milliseconds firstBackoff{500};
    std::chrono::milliseconds maxBackoff{5'000};
    /// Maximum backoff while the service throttles calls.
    std::chrono::milliseconds maxThrottledBackoff{30'000};
    /// Time for which a peer isn't queried after a failure.
    std::chrono::milliseconds peerSuspension{10'000};
    /// The same while this process isn't ready.
    std::chrono::milliseconds startupPeerSuspension{500};
    /// Time after which a process that can't reach enough peers serves the state read from a single source.
    std::chrono::milliseconds startupTimeout{5'000};
    /// Time that a process waits for a ticket that a peer has reported but no source delivers.
    std::chrono::milliseconds missingTicketTimeout{30'000};
    /// Time after which a missing number that answers skip is requested again.
    std::chrono::milliseconds gapRetry{30'000};
    /// A process that was paused for longer than this must verify its state again before it serves.
    std::chrono::milliseconds pauseLimit{10'000};
    /// Number of sidecars of a data centre per reader; a data centre has at least minReaders readers.
    std::size_t sidecarsPerReader = 100;
    std::size_t minReaders = 2;
    /// Calls per second that all processes together make for the instance list and for fallback reads of tickets.
    double listCallsPerSecond = 200;
    double fallbackCallsPerSecond = 200;
};

} // namespace medlarrack::config_sync
