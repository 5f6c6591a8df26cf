#pragma once

#include "adapter_waiters.hpp"
#include "caller_channel.hpp"
#include "exchange_services.hpp"

#include <medlarrack/gateway/attempt_policy.hpp>
#include <medlarrack/gateway/event_splitter.hpp>
#include <medlarrack/gateway/replica_choice.hpp>
#include <medlarrack/gateway/request_ending.hpp>
#include <medlarrack/gateway/retry_after.hpp>
#include <medlarrack/gateway/run_stop.hpp>
#include <medlarrack/gateway/stream_ending.hpp>
#include <medlarrack/http1/client_connection.hpp>
#include <medlarrack/overload/byte_account.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarrack::gateway {

/// One request of a caller and its response: from the last byte of the request to the last byte of the response. It is
/// handled by one process from start to end, so that at-most-once execution needs no coordination: it is sent to
/// another replica only if it certainly has not run, or if the route allows another run.
class exchange final : public std::enable_shared_from_this<exchange>,
                       public adapter_waiter,
                       public capacity_waiter,
                       private http1::call_observer
{
public:
    /// Services and caller must outlive the exchange, the caller until onCallerDisconnected().
    exchange(exchange_services &services, caller_channel &caller, http1::message_head head, std::string body);
    ~exchange() override;

    void start();
    /// The caller has closed its connection: cancels the run in progress.
    void onCallerDisconnected();
    /// The same, but the caller may read on if it has ended its side only: it is told what becomes of the request, as
    /// in abandon().
    void onCallerEnded(std::string_view code, std::string_view why, std::chrono::milliseconds retryAfter);
    /// The gateway can't go on with the request, as when its process ends: tells the caller so by how far the request
    /// has come, with a refusal, an error or a reset. A refusal has the Retry-After given.
    void abandon(std::string_view code, std::string_view why, std::chrono::milliseconds retryAfter);
    /// All bytes written to the caller have been handed to the system.
    void onCallerWritable();
    /// Checks the time-outs and dispatches a held request again; called periodically.
    void tick(core::monotonic_time now);

    void adapterLoaded() override;
    void engineLost() override;

    [[nodiscard]] bool canLeaveQueue() const override;
    void leftQueue() override;
    void refusedByQueue(const admission_refusal &refusal) override;

    /// Id of the caller's attempt; empty if the caller sent none.
    [[nodiscard]] std::string_view requestId() const;

private:
    http1::head_verdict onHead(const http1::message_head &head) override;
    void onBody(std::string &body) override;
    void onComplete() override;
    void onFailed(http1::call_progress progress, std::string_view why) override;

    /// Records that the replica is leaving or starts a quiet period by a Retry-After, if the response says so.
    void updateReplicaAvailability(const response_metadata &metadata);
    /// Records the limit that the replica names in a response.
    void updateRequestLimit(const response_metadata &metadata);
    /// Finds the route unless it is known, and dispatches the request.
    void advance();
    /// False if the request was held or answered instead.
    bool findRoute();
    void initFromRoute();
    enum class key_result : std::uint8_t {
        accepted,
        unknown,
        /// Unknown by a state that may be outdated.
        not_yet_known,
        /// The state is so old that the key may have been revoked.
        unconfirmed,
    };
    struct key_check
    {
        key_result result = key_result::accepted;
        /// Null if the route needs no key and the request has none that is known.
        std::shared_ptr<const catalog::tenant> tenant;
    };
    /// Looks up the request's key in the state in force.
    [[nodiscard]] key_check checkKey() const;
    /// Whether the state is older than the settings allow a key to be trusted.
    [[nodiscard]] bool mayMissRevocation() const;
    /// Finds the tenant of the request's key. False if the request was answered instead.
    bool authorize();
    /// The same if another state has come into force since, or the state has become too old; the key of a request that
    /// has waited may be revoked.
    bool isStillAuthorized();
    /// Whether the key would be accepted for another run. The run in progress goes on without that.
    [[nodiscard]] bool maySendAgain() const;
    /// False if the request was refused because this process is overloaded.
    bool admitByOwnLoad();
    /// Counts the request toward its tenant's quota. False if it was refused instead.
    bool admitByQuota();
    /// What the replica is told: 0 is served first.
    [[nodiscard]] std::uint32_t urgency() const;
    /// Whether the caller resumes a stream that an earlier attempt of its began.
    [[nodiscard]] bool resumesStream() const;
    /// Finds out where the stream that the caller resumes has begun, and which service of the route can go on with it.
    /// False if the request was held or refused instead.
    bool findOrigin();
    /// Whether the current replica certainly runs the version that the events before came from.
    [[nodiscard]] bool isRunOfOrigin() const;
    /// An event is about to be relayed: the stream is pinned to the version that sends it.
    void pinOrigin();
    /// Chooses a replica, then sends the request, waits for its adapter there, holds it, or ends it with an error.
    void dispatch();
    [[nodiscard]] replica_choice chooseReplica(core::monotonic_time now, core::monotonic_time loadedBy) const;
    /// Whether another replica can take the request over now. If one has yet to load the adapter, the load is requested
    /// and the current run goes on meanwhile.
    bool canGoOnElsewhere(core::monotonic_time now);
    /// Sends the request on if its replica is silent for too long and another one can go on. Without another one, the
    /// replica may still answer: a pause alone doesn't show that it can't.
    void retryIfSilent(core::monotonic_time now);
    /// Sends the request back to the replica that it was taken from because it was silent; false if there is none that
    /// may answer. Neither rejections of others nor an exhausted retry budget prevent it, as the run may have been
    /// sound: its retry was reserved when the request was sent on.
    bool returnToSilentReplica();
    /// Takes the retry for sending a silent request on, and has one reserved for its way back; false if the budget
    /// doesn't have both.
    bool payForSendOn(core::monotonic_time now);
    /// Interval at which held requests are dispatched again; short compared to the second that engines take to restart.
    static constexpr std::chrono::milliseconds heldDispatchInterval{50};
    /// Whether the run must have stopped before the request goes on elsewhere.
    [[nodiscard]] bool mustStopRun() const;
    /// False while a call to stop the run is under way, and for a while after one that didn't stop it.
    [[nodiscard]] bool mayAskToStop(core::monotonic_time now) const;
    /// Has the current run stopped, then goes on elsewhere. A replica that answers that it hasn't stopped keeps the
    /// request.
    void stopRun(core::monotonic_time now);
    /// Returns whether the request goes on from the memory that the answer names.
    bool onStopAnswer(std::uint32_t run, const std::string &successor, const stop_answer &answer);
    /// The response has ended without its end. If the run was asked to stop, that is why: the request goes on
    /// elsewhere, at once or when the call has been answered. False if it wasn't asked.
    [[nodiscard]] bool endsAsAsked();
    /// The time for the answer to a call to stop the run is over.
    void endStopWait();
    void leaveSilentReplica();
    /// Holds the request until the next dispatch.
    void hold(std::string_view why, std::chrono::milliseconds interval = heldDispatchInterval);
    void waitForAdapter(const replica_choice &choice);
    /// Queues the request until an engine has capacity. The exchange may have ended when this returns.
    void waitForCapacity(core::monotonic_time now);
    void leaveCapacityQueue();
    void sendRequest(const replica_ptr &to);
    /// Whether the head states a body that exceeds its bound.
    [[nodiscard]] bool announcesTooMuch(const http1::message_head &head) const;
    /// Keeps bytes of a body until it is whole, and stops reading it while the process has no room for more.
    void collectBody(std::string_view bytes);
    void onRoomForBody();
    /// Keeps the error response for the case that no other replica gives a better one, if there is room.
    void holdErrorResponse();
    /// Gives back what has been collected of a body.
    void dropBody();
    void relayEvents(std::string &body);
    /// The exchange may have ended when this returns.
    void failRunOfOtherOrigin(std::string &body);
    /// Appends the head of the caller's stream unless it has been sent.
    void beginStream(std::string &out);
    /// The replica has answered, or begun its stream, without an error.
    void recordSuccess();
    /// Whether the response is a replica's event stream, whose events are relayed as they come.
    [[nodiscard]] bool isReplicaStream() const;
    [[nodiscard]] ended_run describeEndedRun(bool endsWithConnection) const;
    /// Ends the caller's stream if the run shows that it is whole, or goes on elsewhere.
    void completeStream(bool endsWithConnection);
    /// Closes the connection of a response that exceeds a bound, and logs which.
    void recordEndlessResponse(std::string_view what);
    void failEndlessResponse(std::string_view what);
    /// Ends the attempt on an answer that names no request, on a connection that has carried another answer: a faulty
    /// replica may have added it to an earlier answer while it runs this request.
    void failUnprovenAnswer(int status);
    /// The replica states that it did not run the request.
    void onRejected();
    /// `disconnected` says that the replica closed the connection, which it does when it crashes.
    void onAttemptFailed(attempt_outcome end, std::string_view why, bool disconnected = true);
    [[nodiscard]] suspects::lost_run makeLostRun(bool disconnected) const;
    /// Whether the replica of the current run has been writing its answer, so that a crash has another cause than the
    /// beginning of this answer.
    [[nodiscard]] bool hasAnswerBegun() const;
    /// The answer has begun: the parts of the prompt don't crash replicas.
    void clearPartsOfSuspicion();
    /// The run needs no longer be waited for by others with the same parts.
    void endUnansweredRun();
    void recordCrashProbe();
    /// The current run has ended without an answer or a crash: if it was a probe, it says nothing.
    void withdrawProbe();
    void countCrashingRequest();
    [[nodiscard]] bool isContentRefused(core::monotonic_time now) const;
    [[nodiscard]] bool arePartsRefused(core::monotonic_time now) const;
    /// Whether the request must not be sent now; it has been held or answered then.
    bool holdOrRefuseIfSuspect();
    /// A run ended without a response: the replica may have crashed.
    void recordLostRun(std::string_view why, bool disconnected);
    /// Refuses the request if it is suspected of crashing replicas, except when it may run as a probe; true if refused.
    bool refuseIfCrashing();
    /// Cancels a run whose answer has not begun, if the request has become refused since it was sent; true if so.
    bool cancelIfCrashing(core::monotonic_time now);
    void retryElsewhere(std::string_view why);
    void sendResponse();
    /// Relays the error response of an earlier attempt; false if there is none or another response has begun.
    bool sendHeldError();
    /// Refuses the request with a Retry-After, or with another error if it may have run.
    void refuse(refusal_cause cause, std::string_view code, std::string_view why);
    /// Refuses the request, which has not run.
    void sendRefusal(std::string_view code, std::string_view why, std::chrono::milliseconds retryAfter,
                     int status = 503);
    void sendLocalResponse(local_response &response, std::string_view outcome);
    /// Ends the request with the held error response, an error of the gateway, or, if a response has begun, a reset.
    void respondWithError(int status, std::string_view code, std::string_view why);
    void abortResponse(std::string_view why);
    void closeConnection();
    void assignReplica(const replica_ptr &to);
    /// The replica has begun to respond, so it has processed the prompt.
    void clearPendingPrefillTokens();
    void releaseReplica();
    void finish(std::string_view outcome, int status, std::string_view why);
    void recordTenantOutcome(std::string_view outcome);
    [[nodiscard]] std::chrono::milliseconds timeLeft(core::monotonic_time now) const;
    [[nodiscard]] request_progress progress() const;
    /// Records what the end of the current run by the caller says about its replica.
    void recordCallerGone();
    /// Why a request ended by its caller has ended.
    [[nodiscard]] std::string_view describeCallerGone() const;

    exchange_services &m_services;
    caller_channel *m_caller;
    http1::message_head m_requestHead;
    std::string m_requestBody;
    request_metadata m_requestMetadata;
    /// Hash of the request's content: a caller's retry has another attempt id and the same fingerprint.
    std::uint64_t m_fingerprint;
    std::shared_ptr<const catalog::route> m_route;
    /// Null if there are no tenants, or for a public route that was called without a key.
    std::shared_ptr<const catalog::tenant> m_tenant;
    bool m_hasTenants = false;
    /// Units that count toward the tenant's quota.
    double m_quotaCost = 0;
    /// The tenant that they were counted for.
    std::string m_quotaTenant;
    /// Version of the published state that the tenant was found in.
    std::uint64_t m_authorizedVersion = 0;
    std::string m_serviceName;
    /// Key of the stream, which the caller's first attempt gave it.
    resumption::stream_key m_streamKey;
    /// Where the events come from that the caller has; unknown until there are any.
    resumption::stream_origin m_origin = resumption::unknownOrigin;
    /// The origin of the current replica's streams when the request was sent.
    resumption::stream_origin m_runOrigin = resumption::unknownOrigin;
    /// Batch size of the service's engines when the request came, in case the service leaves the published state; 0 for
    /// a service without engines.
    std::uint32_t m_engineBatchSize = 0;
    const core::monotonic_time m_startedAt;
    core::monotonic_time m_deadline{};

    /// The replica that the request waits for or runs at.
    replica_ptr m_replica;
    /// Id of the last assigned replica; kept after the replica is released.
    std::string m_replicaId;
    /// Start time of the replica in Unix milliseconds, as known when the request was sent.
    std::uint64_t m_replicaStartedAtMs = 0;
    /// Age of the agent's last status when the replica was assigned.
    std::chrono::nanoseconds m_agentStatusAge{0};
    connection_ptr m_connection;
    /// Connections that have carried the request: a replica's answer on one of them names it, but may be an earlier
    /// one.
    std::vector<std::weak_ptr<http1::client_connection>> m_usedConnections;
    core::monotonic_time m_sentAt{};
    /// Time until the deadline that the replica was given.
    std::chrono::milliseconds m_replicaTimeLimit{0};
    /// End of the time for which the request may be held for a replica or for the load of its adapter, in total; of a
    /// stream that has begun, since its last progress.
    core::monotonic_time m_holdDeadline{};
    /// Set while the request is held.
    std::optional<core::monotonic_time> m_nextDispatchAt;
    bool m_holdLogged = false;
    /// The next attempt is a probe: the request is suspected of crashing replicas and runs once more to find out.
    bool m_isCrashProbe = false;
    /// The current run is a probe.
    bool m_runsAsProbe = false;
    /// The current run is counted among those whose answers have not begun.
    bool m_isUnanswered = false;
    /// The request is probably a retry after a refusal, and its caller is unlikely to retry after another one.
    bool m_isCallerRetry = false;
    double m_adapterDemand = 0;
    /// Prompt tokens of this request that are counted in the replica's pendingPrefillTokens until it responds.
    std::uint64_t m_pendingPrefillTokens = 0;
    /// Tokens that the replica had to prefill when the request was sent, those of its prompt included; 0 if the time to
    /// the first event doesn't show the rate at which it does.
    double m_tokensToFirstEvent = 0;
    /// When the response last made progress: by its head, by bytes of a body, or by a complete event with data.
    core::monotonic_time m_lastProgressAt{};
    std::string_view m_choiceReason;
    /// Expected time to the answer of a plain service, by the latest choice.
    std::chrono::nanoseconds m_expectedTime{0};
    attempt_history m_history;
    std::vector<std::string> m_triedReplicas;
    /// The last replica that the request was taken from because it was silent. It may have paused only, so it is tried
    /// once more if no other answers.
    std::string m_silentReplica;
    /// Kept for the way back to it.
    std::unique_ptr<overload::reserved_retry> m_wayBack;
    std::uint32_t m_loadWaits = 0;
    /// A load of the adapter has been requested elsewhere in case the current run stays silent.
    bool m_loadRequestedAhead = false;
    /// Set while the answer to a call to stop the current run is waited for.
    std::optional<core::monotonic_time> m_stopDeadline;
    /// Set once the current run was asked to stop.
    core::monotonic_time m_nextStopAt{};
    /// Calls to stop the current run that the replica hasn't answered with a no: one of them may end the response.
    std::uint32_t m_unansweredStops = 0;
    /// Replica with a copy of the stopped run's memory, and the name of the copy.
    std::pair<std::string, std::string> m_copiedMemory;
    bool m_usesCopiedMemory = false;

    http1::message_head m_responseHead;
    response_metadata m_responseMetadata;
    std::string m_responseBody;
    std::unique_ptr<overload::byte_holding> m_bodyHolding;
    /// The connection is paused until the process has room for more of the body.
    bool m_awaitsRoom = false;
    /// A replica's error response that was held back to try another replica.
    std::optional<std::pair<http1::message_head, std::string>> m_heldErrorResponse;
    std::unique_ptr<overload::byte_holding> m_heldErrorHolding;
    event_splitter m_eventSplitter;
    /// Events that earlier replicas sent.
    std::size_t m_eventsBeforeRun = 0;
    /// Body bytes of the current replica's response.
    std::size_t m_responseBytes = 0;
    std::size_t m_partialEventBytes = 0;
    bool m_responseHeadSent = false;
    /// The stream's origin has been recorded for resumptions.
    bool m_originRecorded = false;
    bool m_readPaused = false;
    bool m_waitingForAdapter = false;
    /// Code of the response of this process itself; empty if there is none.
    std::string m_localCode;
    /// Id in the queue of requests that wait for capacity; 0 if this one doesn't.
    std::uint64_t m_queueId = 0;
    /// Set until the request leaves that queue.
    bool m_isQueued = false;
    core::monotonic_time m_queuedAt{};
    bool m_finished = false;
    std::chrono::nanoseconds m_timeToFirstByte{0};
};

} // namespace medlarrack::gateway
