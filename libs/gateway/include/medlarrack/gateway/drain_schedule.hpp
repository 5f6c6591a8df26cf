#pragma once

#include <medlarrack/core/clock.hpp>

#include <chrono>

namespace medlarrack::gateway {

/// The steps of a planned stop, in order.
enum class drain_step {
    /// Connections are accepted, requests are served.
    serving,
    /// No more connections are accepted, the requests in progress are completed.
    closing,
    /// The requests still in progress are answered by the gateway, and callers get their last bytes.
    ending,
    /// The process may end.
    done,
};

/// Decides how far a planned stop has come.
class drain_schedule
{
public:
    /// The process is killed when the grace is over.
    drain_schedule(core::monotonic_time startedAt, std::chrono::milliseconds gracePeriod);

    /// Time from which no request is in progress any more.
    [[nodiscard]] core::monotonic_time end() const;
    [[nodiscard]] drain_step step() const;
    /// Called periodically. `isDrained` says that no request is in progress or unread, `isEmpty` that all callers have
    /// got their last bytes. A step that the caller hasn't acted on yet isn't passed over, except `closing` when time
    /// is over, which `ending` includes.
    drain_step update(core::monotonic_time now, bool isDrained, bool isEmpty);

private:
    core::monotonic_time m_startedAt;
    core::monotonic_time m_end;
    core::monotonic_time m_endingSince{};
    drain_step m_step = drain_step::serving;
};

} // namespace medlarrack::gateway
