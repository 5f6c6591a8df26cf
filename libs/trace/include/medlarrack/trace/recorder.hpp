#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/trace/fact.hpp>

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::trace {

/// Bounds of what a recorder keeps.
struct recorder_limits
{
    /// Requests kept; a new one replaces the oldest.
    std::size_t maxRequests = 2048;
    /// Events kept of one request; the last place is overwritten by later events, and dropped ones are counted.
    std::size_t maxEventsPerRequest = 48;
    /// State changes kept; a new one replaces the oldest.
    std::size_t maxChanges = 512;
};

/// Keeps what happened to requests and why the process changed its state, in bounded memory. Thread-safe; its one mutex
/// is a leaf in the lock order.
class recorder
{
public:
    explicit recorder(recorder_limits limits = {});
    ~recorder();
    recorder(const recorder &) = delete;
    recorder &operator=(const recorder &) = delete;

    /// An event of a request: what happened ("routed", say), why, and what was known then.
    void request(std::string_view requestId, core::wall_time at, std::string_view what, std::string_view why = {},
                 std::initializer_list<fact> known = {});
    /// A change of the process's state: of what ("target e-3"), what happened ("leaving") and its cause.
    void change(core::wall_time at, std::string_view subject, std::string_view what, std::string_view cause,
                std::initializer_list<fact> known = {});

    /// {"request_id", "dropped_events", "events": [{"at_ms", "what", "why", "known": {..}}]}; nothing for a request
    /// that isn't kept.
    [[nodiscard]] std::optional<std::string> requestJson(std::string_view requestId) const;
    /// [{"at_ms", "subject", "what", "cause", "known": {..}}], oldest first.
    [[nodiscard]] std::string changesJson() const;
    /// Requests kept now.
    [[nodiscard]] std::size_t requests() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::trace
