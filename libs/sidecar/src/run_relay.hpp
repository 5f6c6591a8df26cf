#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/engine/target_driver.hpp>
#include <medlarrack/idempotency/recorded_answer.hpp>
#include <medlarrack/metrics/registry.hpp>
#include <medlarrack/peer/messages.hpp>
#include <medlarrack/peer/reply_stream.hpp>
#include <medlarrack/sidecar/scheduler.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace medlarrack::sidecar::detail {

/// Sends one request's answer to its entry; every message carries the attempt number. The target's callbacks are never
/// concurrent, so the relay needs no lock.
class run_relay
{
public:
    run_relay(const peer::run_request &request, std::shared_ptr<peer::reply_stream> reply,
              core::monotonic_time enqueued, metrics::registry &metrics);

    void accepted(const core::instance_ref &by);
    /// Stores how long the request waited; the head reports it.
    void starting(const run_start &runStart);
    void head(int status, const std::vector<std::pair<std::string, std::string>> &headers);
    /// Forwards a piece of the body, skipping bytes that the entry received in an earlier attempt.
    void data(std::string_view piece, core::monotonic_time now);
    /// Ends the stream after a complete answer.
    void end();
    void refuse(peer::run_refused refused);
    /// Sends the recorded answer of an earlier run of the same key.
    void replay(const idempotency::recorded_answer &answer);

    /// Bytes that have not been sent to the entry yet.
    [[nodiscard]] std::size_t bufferedBytes() const;

private:
    void observe(const char *name, const char *help, std::chrono::nanoseconds time);
    void sendHead(int status, const std::vector<std::pair<std::string, std::string>> &headers, bool replayed);
    void countOutcome(std::string_view code);

    std::uint32_t m_attempt;
    std::string m_class;
    std::string m_operator;
    std::uint64_t m_resumeFrom;
    std::shared_ptr<peer::reply_stream> m_reply;
    core::monotonic_time m_enqueued;
    metrics::registry &m_metrics;
    run_start m_runStart;
    std::uint64_t m_bytesSeen = 0;
    bool m_firstByteSeen = false;
};

} // namespace medlarrack::sidecar::detail
