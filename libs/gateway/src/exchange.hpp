#pragma once

#include "adapter_waiters.hpp"
#include "caller_channel.hpp"
#include "exchange_services.hpp"

#include <medlarrack/gateway/attempt_policy.hpp>
#include <medlarrack/gateway/event_cutter.hpp>
#include <medlarrack/gateway/replica_choice.hpp>
#include <medlarrack/gateway/retry_after.hpp>
#include <medlarrack/http1/client_connection.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarrack::gateway {

/// One request of a caller, from its last byte to the last byte of its answer. It lives in one process from start to
/// end, so that at most once needs no agreement: it is sent on again only after proof that it has not run, or where the
/// route allows it.
class exchange final : public std::enable_shared_from_this<exchange>,
                       public adapter_waiter,
                       private http1::call_observer
{
public:
    /// Services and caller must outlive the exchange, the caller until callerGone().
    exchange(exchange_services &services, caller_channel &caller, http1::message_head head, std::string body);
    ~exchange() override;

    void start();
    /// The caller has closed its connection: what runs for it is cancelled.
    void callerGone();
    /// The caller has taken all bytes written.
    void callerDrained();
    /// Checks deadlines and patience; called at a steady pace.
    void tick(core::monotonic_time now);

    void adapterLoaded() override;
    void engineLost() override;

private:
    http1::head_verdict onHead(const http1::message_head &head) override;
    void onBody(std::string &body) override;
    void onComplete() override;
    void onFailed(http1::call_progress progress, std::string_view why) override;

    /// What an answer says of its replica besides.
    void heed(const answer_facts &facts);
    /// Goes on from where it is held, or from the start.
    void proceed();
    bool findRoute();
    void routeFound();
    void next();
    /// Holds the request until the next look at what can take it.
    void hold(std::string_view why);
    void waitForAdapter(const replica_choice &choice);
    void send(const replica_ptr &to);
    void relayEvents(std::string &body);
    void completeStream();
    void rejected();
    void attemptFailed(attempt_outcome end, std::string_view why);
    [[nodiscard]] suspects::lost_run lostRun(bool disconnected) const;
    /// A run ended without the replica's answer: it may have crashed.
    void runLost(std::string_view why, bool disconnected);
    /// Refuses the request if it crashes the replicas that run it.
    bool refuseCrashing();
    void tryAgain(std::string_view why);
    void deliver();
    /// Passes on a failure that was held; false if there is none.
    bool deliverHeldFailure();
    void refuse(refusal_cause cause, std::string_view code, std::string_view why);
    void giveOwn(own_answer &answer, std::string_view outcome);
    void answerOwn(int status, std::string_view code, std::string_view why);
    void breakOff(std::string_view why);
    void dropConnection();
    void assign(const replica_ptr &to);
    /// The replica has begun to answer.
    void promptRead();
    void release();
    void finish(std::string_view outcome, int status, std::string_view why);
    [[nodiscard]] std::chrono::milliseconds timeLeft(core::monotonic_time now) const;

    exchange_services &m_services;
    caller_channel *m_caller;
    http1::message_head m_request;
    std::string m_requestBody;
    request_facts m_facts;
    /// Of its content: a caller's retry has another id and the same fingerprint.
    std::uint64_t m_fingerprint;
    std::shared_ptr<const catalog::route> m_route;
    std::string m_service;
    const core::monotonic_time m_startedAt;
    core::monotonic_time m_deadline{};

    /// The replica that the request waits for or runs at.
    replica_ptr m_target;
    /// Its id, also after it was left.
    std::string m_targetId;
    /// When it was started, in Unix milliseconds, as known when the request was sent there.
    std::uint64_t m_targetStart = 0;
    /// Age of what its agent had said when it was chosen.
    std::chrono::nanoseconds m_statusAge{0};
    connection_ptr m_connection;
    core::monotonic_time m_sentAt{};
    /// Time that the replica was given.
    std::chrono::milliseconds m_timeGiven{0};
    /// Until when the request may be held for its adapter, at whichever engines, or for an engine.
    core::monotonic_time m_waitEnd{};
    /// When a held request is looked at again.
    std::optional<core::monotonic_time> m_lookAgainAt;
    bool m_holdLogged = false;
    /// It crashed replicas and is to run once more all the same.
    bool m_isProbe = false;
    /// The caller has come before; a refusal would be its last.
    bool m_returning = false;
    double m_demand = 0;
    /// Tokens of the prompt that the target has yet to read.
    std::uint64_t m_unread = 0;
    core::monotonic_time m_lastBytesAt{};
    std::string_view m_choiceWhy;
    attempt_history m_history;
    std::vector<std::string> m_tried;
    std::uint32_t m_loadWaits = 0;

    http1::message_head m_answer;
    answer_facts m_answerFacts;
    std::string m_answerBody;
    /// A replica's own failure that was not passed on because another replica was tried.
    std::optional<std::pair<http1::message_head, std::string>> m_heldFailure;
    event_cutter m_cutter;
    std::size_t m_unfinishedEvent = 0;
    bool m_headSent = false;
    bool m_paused = false;
    bool m_waiting = false;
    bool m_done = false;
    std::chrono::nanoseconds m_firstByte{0};
};

} // namespace medlarrack::gateway
