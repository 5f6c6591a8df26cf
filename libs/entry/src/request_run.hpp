#pragma once

#include "admission.hpp"
#include "call.hpp"
#include "error_response.hpp"
#include "response_relay.hpp"
#include "run_environment.hpp"
#include "scheduler.hpp"
#include "target_directory.hpp"

#include <medlarrack/core/instance_ref.hpp>
#include <medlarrack/peer/client.hpp>
#include <medlarrack/routing/router.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::entry {

/// Processes one request from its acceptance to the final response. Attempts are numbered; messages of earlier
/// attempts are dropped. All private members run as steps of the scheduler.
class request_run : public std::enable_shared_from_this<request_run>
{
public:
    request_run(std::shared_ptr<const run_environment> environment, call request, std::unique_ptr<scheduler> scheduler,
                std::shared_ptr<http::responder> responder, std::unique_ptr<admission::permit> permit);
    ~request_run();
    request_run(const request_run &) = delete;
    request_run &operator=(const request_run &) = delete;

    /// Starts the first attempt. Thread-safe; called once.
    void begin();
    /// To be called when the caller has closed its connection. Thread-safe.
    void onCallerDisconnected();
    /// To be called when the entry ends before the request has. Thread-safe.
    void onStop();

private:
    enum class state {
        /// Waiting for a usable target or for the end of the retry delay.
        waiting,
        /// An attempt was sent and its sidecar hasn't replied yet.
        sent,
        /// The sidecar has queued the request or is running it.
        accepted,
        ended,
    };

    /// Describes why an attempt failed and whether it may be retried.
    struct attempt_failure
    {
        error_response error;
        routing::attempt_result result = routing::attempt_result::answered;
        bool mayRetry = false;
        /// Id of the target of the next attempt; empty to leave the choice to routing.
        std::string preferredTarget;
        /// The retry isn't charged to the retry budget, because nothing reached a target.
        bool exemptFromBudget = false;
    };

    void start();
    /// Creates an idempotency key for a request that needs one and has none, and prefers the instance that a key is
    /// bound to.
    void ensureIdempotencyKey();
    /// Sends the next attempt, waits for a target, or ends the request if neither is possible.
    void startNextAttempt();
    void waitForTarget();
    [[nodiscard]] std::optional<chosen_target> chooseTarget();
    void send(const chosen_target &target);
    [[nodiscard]] peer::run_request requestMessage() const;
    [[nodiscard]] peer::stream_callbacks streamCallbacks();

    void onMessage(std::uint32_t attempt, const peer::message &message);
    void onStreamEnd(std::uint32_t attempt, peer::stream_end end, const std::string &detail);
    void handleMessage(const peer::run_accepted &message);
    void handleMessage(const peer::run_refused &message);
    void handleMessage(const peer::run_head &message);
    void handleMessage(const peer::run_chunk &message);
    void handleMessage(const peer::run_end &message);
    /// Counts a message of a type that isn't expected in this stream as dropped.
    template<typename Other>
    void handleMessage(const Other &message);
    void recordTargetCrash();

    /// Schedules a retry or fails the request.
    void onAttemptFailed(const attempt_failure &failure);
    /// Handles the failure of an attempt that may have reached its target.
    void onAttemptBroken(std::string_view code, const std::string &detail);
    [[nodiscard]] bool mayRetryNow(const attempt_failure &failure);
    [[nodiscard]] std::chrono::milliseconds retryDelay() const;
    void handleRelayResult(response_relay::result result);

    void armTimer();
    void onTimer();
    /// The deadline, extended once the response has started.
    [[nodiscard]] core::monotonic_time effectiveDeadline() const;
    void onDeadlinePassed();
    void handleCallerDisconnected();
    void handleStop();

    /// Records the end of the current attempt, if any, in the target directory.
    void endAttempt(routing::attempt_result result, std::string_view cause);
    void failRequest(error_response error);
    void finish(std::string_view code, core::outcome outcome);
    /// The outcome that is certain if the request ends now without a response.
    [[nodiscard]] core::outcome provenOutcome() const;
    [[nodiscard]] routing::routing_request routingRequest() const;
    void traceEvent(std::string_view event, std::string_view detail = {},
                    std::initializer_list<trace::fact> facts = {});

    const std::shared_ptr<const run_environment> m_environment;
    call m_request;
    std::unique_ptr<scheduler> m_scheduler;
    std::unique_ptr<admission::permit> m_permit;
    response_relay m_relay;
    state m_state = state::waiting;

    std::uint32_t m_attempt = 0;
    bool m_attemptActive = false;
    peer::client::stream_id m_stream = 0;
    chosen_target m_target;
    bool m_suspect = false;
    core::instance_ref m_acceptedBy;
    std::vector<routing::target_index> m_triedTargets;
    /// Id of the target that the current or next attempt goes to regardless of routing.
    std::string m_preferredTarget;

    /// An attempt may have run.
    bool m_mayHaveRun = false;
    /// An attempt is known to have run.
    bool m_ran = false;
    bool m_responseStarted = false;
    bool m_firstByteRecorded = false;
    std::optional<core::monotonic_time> m_nextStepAt;
    std::optional<core::monotonic_time> m_noTargetSince;
    /// Error of the previous attempt, returned if no further one is made.
    std::optional<error_response> m_lastError;
};

} // namespace medlarrack::entry
