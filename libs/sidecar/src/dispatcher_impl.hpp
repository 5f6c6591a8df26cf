#pragma once

#include "active_request.hpp"
#include "target_monitor.hpp"

#include <medlarrack/engine/fence_source.hpp>
#include <medlarrack/engine/pause_detector.hpp>
#include <medlarrack/idempotency/key_registry.hpp>
#include <medlarrack/sidecar/dispatcher.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace medlarrack::sidecar {

/// Implementation of the dispatcher. Each event is handled under the mutex; the resulting actions are executed after
/// the mutex has been released, so that no callback can run while it is held.
class dispatcher::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(dispatcher_options options, dispatcher_dependencies dependencies);

    void submit(peer::run_request request, const std::shared_ptr<peer::reply_stream> &reply);
    void tick();
    void drain();
    [[nodiscard]] bool idle() const;
    [[nodiscard]] bool ready() const;
    [[nodiscard]] dispatcher_state state() const;
    void onInstanceList(core::wall_time asOf, std::span<const std::string> members);
    [[nodiscard]] peer::seal_reply onSealRequest(const peer::seal_request &request);
    void onSealReply(const std::string &memberId, const std::string &key, const std::optional<peer::seal_reply> &reply);
    void update(const std::function<void()> &change);
    void setWeight(std::string_view operatorName, double weight);
    void setCapacity(std::size_t slots, std::size_t concurrency);

private:
    using request_ptr = std::shared_ptr<detail::active_request>;
    using event_handler = std::function<effects(core::monotonic_time)>;

    /// A run whose connection broke, held until it is known whether the target crashed.
    struct unresolved_run
    {
        request_ptr request;
        engine::call_result result;
        core::monotonic_time since;
    };
    struct refused_request
    {
        request_ptr request;
        refusal details;
        /// False when the request's key may be running, or may have run, for another request.
        bool provenNotRun = true;
    };
    /// Actions to execute after the mutex has been released.
    struct deferred_work
    {
        std::vector<refused_request> refusals;
        std::vector<std::pair<request_ptr, run_start>> starts;
        std::vector<adapter_cache::slot_order> orders;
        idempotency::action_list keyActions;
        /// Number of pauses detected when these actions were decided.
        std::uint64_t pauseCount = 0;
        /// Incarnation of the engine that the orders are meant for.
        std::uint64_t engineIncarnation = 0;
    };

    // Event handling.
    void process(const event_handler &handler);
    void detectPause(core::monotonic_time now, deferred_work &deferred);
    void collect(effects decided, core::monotonic_time now, deferred_work &deferred);
    void execute(deferred_work deferred);

    // Requests (dispatcher.cpp).
    [[nodiscard]] std::optional<core::reason> reasonToRefuse(const peer::run_request &request,
                                                             core::monotonic_time now) const;
    effects admit(const request_ptr &request, core::monotonic_time now);
    void watchCaller(std::uint64_t id, peer::reply_stream &reply);
    void sendAccepted(const request_ptr &request);
    void refuse(const refused_request &refused);
    void onCallerClosed(std::uint64_t id);
    [[nodiscard]] bool inProgress(std::uint64_t id) const;
    void remove(const request_ptr &request);

    // Keys (dispatcher_keys.cpp).
    void submitKeyed(const request_ptr &request);
    void execute(idempotency::action_list actions);
    void startKeyedRun(const std::string &key);
    void answerWaiter(idempotency::waiter_id waiter, const std::function<void(detail::active_request &)> &answer);
    void recordAnswer(detail::active_request &request, std::string_view piece) const;
    void completeKey(detail::active_request &request, const engine::call_result &result);
    [[nodiscard]] bool releaseKey(const detail::active_request &request);
    void addKeyActions(idempotency::action_list actions);

    // Runs (dispatcher_runs.cpp).
    void start(const request_ptr &request, const run_start &runStart, std::uint64_t pauseCount);
    void cancelStart(const request_ptr &request);
    [[nodiscard]] engine::target_call makeCall(detail::active_request &request) const;
    [[nodiscard]] engine::call_callbacks makeCallbacks(const request_ptr &request);
    void onData(const request_ptr &request, std::string_view piece);
    void onEnd(const request_ptr &request, const engine::call_result &result);
    void finishRun(const request_ptr &request, const engine::call_result &result);
    void abortRun(const request_ptr &request, core::reason why);

    // Target (dispatcher_target.cpp).
    void pollTarget(bool urgent);
    void onPollResult(const std::optional<engine::target_load> &load);
    effects applyPollResult(const detail::poll_result &pollResult, const std::optional<engine::target_load> &load,
                            core::monotonic_time now);
    void adoptCapacity(const engine::target_load &load);
    void markCrashed(std::uint64_t restartedMs);
    [[nodiscard]] std::vector<unresolved_run> takeResolvedRuns(bool answered, core::monotonic_time now);
    void sendOrder(const adapter_cache::slot_order &order, std::uint64_t pauseCount, std::uint64_t engineIncarnation);
    void resendOrder(const adapter_cache::slot_order &order, std::uint64_t engineIncarnation);
    void onOrderResult(const adapter_cache::slot_order &order, engine::order_end end, std::uint64_t engineIncarnation);
    effects supersede(core::monotonic_time now);

    const dispatcher_options m_options;
    const dispatcher_dependencies m_dependencies;
    engine::fence_source m_fences;
    engine::pause_detector m_pauseDetector;

    /// Guards all members below. Locked before the mutexes of the pause detector and of the journal; no other mutex is
    /// locked while it is held.
    mutable std::mutex m_mutex;
    scheduler m_scheduler;
    detail::target_monitor m_targetMonitor;
    std::unordered_map<std::uint64_t, request_ptr> m_requests;
    std::unordered_map<std::string, std::uint64_t> m_byRequestId;
    std::vector<unresolved_run> m_unresolvedRuns;
    idempotency::key_registry m_keys;
    /// Id of the request that runs, or is to run, each key that has no result yet.
    std::unordered_map<std::string, std::uint64_t> m_runnerByKey;
    /// Key actions that resulted from the event in progress.
    idempotency::action_list m_keyActions;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_pauseCount = 0;
    std::uint64_t m_engineIncarnation = 0;
    /// Requests are refused until then: messages read right after a pause may have arrived before it.
    core::monotonic_time m_refuseUntil{};
    std::optional<core::monotonic_time> m_drainStart;
    bool m_adoptAdapters = true;
};

} // namespace medlarrack::sidecar
