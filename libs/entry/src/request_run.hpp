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

/// The life of one request from its acceptance to its final answer. Each attempt to run it has a number; messages of
/// earlier attempts are dropped. All members but begin() and callerGone() run as steps of the scheduler.
class request_run : public std::enable_shared_from_this<request_run>
{
public:
    request_run(std::shared_ptr<const run_environment> environment, call request, std::unique_ptr<scheduler> steps,
                std::shared_ptr<http::responder> responder, std::unique_ptr<admission::permit> permit);
    ~request_run();
    request_run(const request_run &) = delete;
    request_run &operator=(const request_run &) = delete;

    /// Starts the first attempt. Thread-safe; called once.
    void begin();
    /// The caller has closed its connection. Thread-safe.
    void callerGone();

private:
    enum class state {
        /// Waits for a usable target or for the pause before a retry.
        waiting,
        /// An attempt was sent; its sidecar hasn't answered.
        sent,
        /// The sidecar queued or runs it.
        accepted,
        ended,
    };

    /// Why an attempt failed and what that allows.
    struct failure
    {
        error_response error;
        routing::attempt_result result = routing::attempt_result::answered;
        bool mayRetry = false;
        /// Target to be asked next, when it isn't left to routing.
        std::string askNext;
        /// Costs nothing of the retry budget: nothing reached a target.
        bool free = false;
    };

    void start();
    /// Makes the key of a request that lacks one, and goes first to the home of a bound key.
    void settleKey();
    void choose();
    void noTarget();
    [[nodiscard]] std::optional<chosen_target> chooseTarget();
    void send(const chosen_target &target);
    [[nodiscard]] peer::run_request requestMessage() const;
    [[nodiscard]] peer::stream_callbacks callbacks();

    void onMessage(std::uint32_t attempt, const peer::message &message);
    void onStreamEnd(std::uint32_t attempt, peer::stream_end end, const std::string &detail);
    void take(const peer::run_accepted &message);
    void take(const peer::run_refused &message);
    void take(const peer::run_head &message);
    void take(const peer::run_chunk &message);
    void take(const peer::run_end &message);
    /// Any other message has no place in this stream.
    template<typename Other>
    void take(const Other &message);
    void targetCrashed();

    /// The attempt failed: try again or give up.
    void attemptFailed(const failure &why);
    /// The attempt broke after it may have arrived.
    void attemptBroken(std::string_view code, const std::string &detail);
    [[nodiscard]] bool mayRetryNow(const failure &why);
    [[nodiscard]] std::chrono::milliseconds pauseBeforeRetry() const;
    void handleRelayResult(response_relay::result result);

    void armTimer();
    void onTimer();
    [[nodiscard]] core::monotonic_time lastMoment() const;
    void deadlinePassed();
    void onCallerGone();

    /// Ends the attempt in progress, if any, for the tables.
    void closeAttempt(routing::attempt_result result, std::string_view cause);
    void giveUp(error_response error);
    void finish(std::string_view code, core::outcome outcome);
    /// What is proven when the request ends now without an answer.
    [[nodiscard]] core::outcome provenOutcome() const;
    [[nodiscard]] routing::routing_request query() const;
    void note(std::string_view what, std::string_view why = {}, std::initializer_list<trace::fact> known = {});

    const std::shared_ptr<const run_environment> m_environment;
    call m_request;
    std::unique_ptr<scheduler> m_steps;
    std::unique_ptr<admission::permit> m_permit;
    response_relay m_relay;
    state m_state = state::waiting;

    std::uint32_t m_attempt = 0;
    bool m_attemptOpen = false;
    peer::client::stream_id m_stream = 0;
    chosen_target m_target;
    bool m_suspect = false;
    core::instance_ref m_acceptedBy;
    std::vector<routing::target_index> m_tried;
    /// Target that the attempt was or is to be sent to regardless of routing.
    std::string m_askAgain;

    /// Some attempt may have run, for all that is known.
    bool m_doubt = false;
    /// Some attempt did run.
    bool m_ran = false;
    bool m_answerBegun = false;
    bool m_firstByte = false;
    std::optional<core::monotonic_time> m_wakeAt;
    std::optional<core::monotonic_time> m_noTargetSince;
    /// The error of the attempt before, given when no further one is made.
    std::optional<error_response> m_lastError;
};

} // namespace medlarrack::entry
