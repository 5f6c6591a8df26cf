#pragma once

#include <chrono>
#include <cstddef>

namespace medlarrack::config_sync {

/// Times and limits of how a process keeps its tickets and its instance list up to date.
struct planner_settings
{
    /// How long the service may hold a watch back.
    std::chrono::milliseconds watchWait{20'000};
    /// Interval of a follower's checks with a reader of its data centre.
    std::chrono::milliseconds pollInterval{1'000};
    /// Interval of a reader's checks with readers elsewhere.
    std::chrono::milliseconds readerCheckInterval{2'000};
    /// Shortest interval between two reads of the instance list by one process.
    std::chrono::milliseconds listInterval{2'000};
    /// Interval of a follower's own reads of the service while peers answer.
    std::chrono::milliseconds directInterval{600'000};
    /// Shortest interval of a follower's own reads while no peer answers.
    std::chrono::milliseconds fallbackInterval{5'000};
    /// How long no peer may have answered before a follower reads the service itself.
    std::chrono::milliseconds peerSilence{3'000};
    /// Least time between the starts of two reads of the service by one process.
    std::chrono::milliseconds leastSpacing{500};
    /// First and longest wait after a read of the service that failed.
    std::chrono::milliseconds firstBackoff{500};
    std::chrono::milliseconds longestBackoff{5'000};
    /// Longest wait while the service refuses calls as too many.
    std::chrono::milliseconds longestThrottledBackoff{30'000};
    /// A peer that failed isn't asked again for this long.
    std::chrono::milliseconds peerSuspension{10'000};
    /// The same while this process isn't ready yet.
    std::chrono::milliseconds startPeerSuspension{500};
    /// How long a process that can't reach enough peers waits before it serves what the service alone told it.
    std::chrono::milliseconds startWait{5'000};
    /// How long it waits for a ticket that a peer has named and nobody delivers.
    std::chrono::milliseconds missingTicketWait{30'000};
    /// A missing number that the answers skip is asked for again after this time.
    std::chrono::milliseconds gapRetry{30'000};
    /// A process that was not run for longer than this learns the state anew before it serves.
    std::chrono::milliseconds pauseLimit{10'000};
    /// One reader for each so many sidecars of a data centre, and at least leastReaders.
    std::size_t sidecarsPerReader = 100;
    std::size_t leastReaders = 2;
    /// Calls a second that all processes together spend on the instance list, and on fallback reads of tickets.
    double listCallsPerSecond = 200;
    double fallbackCallsPerSecond = 200;
};

} // namespace medlarrack::config_sync
