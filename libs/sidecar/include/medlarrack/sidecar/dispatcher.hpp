#pragma once

#include <medlarrack/adapter_cache/eviction_policy.hpp>
#include <medlarrack/adapter_cache/load_budget.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/instance_ref.hpp>
#include <medlarrack/engine/target_driver.hpp>
#include <medlarrack/idempotency/settings.hpp>
#include <medlarrack/metrics/registry.hpp>
#include <medlarrack/peer/messages.hpp>
#include <medlarrack/peer/reply_stream.hpp>
#include <medlarrack/sidecar/request_journal.hpp>
#include <medlarrack/sidecar/scheduler.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace medlarrack::sidecar {

struct dispatcher_options
{
    core::instance_ref self;
    /// True for an engine, whose adapters are loaded and unloaded on order; false for a plain service.
    bool isEngine = true;
    /// Name of the service; empty for an engine.
    std::string service;
    scheduler_limits limits;
    /// Use the number of slots and the batch size that the engine reports or that are published for its group.
    bool adoptSlots = true;
    bool adoptConcurrency = true;
    idempotency::settings keySettings;
    std::size_t maxBodyBytes = 1U << 20U;
    /// A stream with more unsent bytes than this is aborted, as its caller reads too slowly.
    std::size_t maxBufferedBytes = 4U << 20U;
    std::chrono::milliseconds pollInterval{500};
    /// Shortest gap in this process's activity that counts as a pause.
    std::chrono::milliseconds shortestPause{1'000};
    /// Queued requests may still start for this long after a drain has begun.
    std::chrono::milliseconds drainGrace{2'000};
    /// After a connection to the target broke, how long to wait for a poll that shows whether the target was restarted;
    /// without an answer it counts as crashed.
    std::chrono::milliseconds crashCheck{1'000};
    /// How long after its deadline a run may continue while the entry still waits for it.
    std::chrono::milliseconds maxRunPastDeadline{600'000};
    std::uint64_t seed = 0;
};

/// Objects and callbacks that the dispatcher uses. All must outlive it.
struct dispatcher_dependencies
{
    const core::clock &clock;
    engine::target_driver &driver;
    adapter_cache::eviction_policy &eviction;
    adapter_cache::load_budget &budget;
    metrics::registry &metrics;
    request_journal &journal;
    /// Number of the newest change ticket in force.
    std::function<std::uint64_t()> newestTicket;
    /// URL from which the engine loads an adapter's weights.
    std::function<std::string(const core::adapter_ref &)> weightsUrl;
    /// Requests another replica's seal of a key; the result is passed to dispatcher::onSealReply().
    std::function<void(const std::string &memberId, const std::string &key)> requestSeal;
};

/// State for load reports and the admin page.
struct dispatcher_state
{
    std::size_t queued = 0;
    std::size_t running = 0;
    std::size_t concurrency = 0;
    std::size_t slots = 0;
    std::vector<core::adapter_ref> adapters;
    bool targetUp = false;
    bool draining = false;
    /// A newer sidecar process controls the target.
    bool superseded = false;
    std::uint64_t pauses = 0;
    std::uint64_t targetStartedMs = 0;
    /// Number of recorded idempotency keys.
    std::size_t keys = 0;
};

/// Controls all work at one target: accepts requests from entries, runs them at the target in the scheduler's order,
/// relays the answers, sends load and unload orders, and reports the outcome of each request ("not run" only when that
/// is proven). Thread-safe: one mutex guards all tables; the driver and reply streams are never called while it is
/// held.
class dispatcher
{
public:
    dispatcher(dispatcher_options options, dispatcher_dependencies dependencies);
    ~dispatcher();
    dispatcher(const dispatcher &) = delete;
    dispatcher &operator=(const dispatcher &) = delete;

    /// Accepts or refuses a request; the result is sent on the stream.
    void submit(peer::run_request request, const std::shared_ptr<peer::reply_stream> &reply);
    /// Checks deadlines, polls the target and detects pauses. Must be called every few tens of milliseconds.
    void tick();
    /// Refuses new requests from now on; requests in progress continue.
    void drain();
    /// Whether no request is queued or running.
    [[nodiscard]] bool idle() const;
    /// Whether new requests are accepted.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] dispatcher_state state() const;

    /// Handles a new instance list; `members` are the ids of this target group's sidecars, including leaving ones.
    void onInstanceList(core::wall_time asOf, std::span<const std::string> members);
    /// Handles another replica's request for a seal.
    [[nodiscard]] peer::seal_reply onSealRequest(const peer::seal_request &request);
    /// Handles a replica's reply to a request for a seal; nullopt when it did not reply.
    void onSealReply(const std::string &memberId, const std::string &key, const std::optional<peer::seal_reply> &reply);

    /// Calls `change` under the dispatcher's mutex, so that it may modify the eviction policy or the load budget.
    void update(const std::function<void()> &change);
    /// Sets an operator's weight in fair queuing.
    void setWeight(std::string_view operatorName, double weight);
    /// Sets the capacity published for the target's group. Ignored once the target has reported its start time.
    void setCapacity(std::size_t slots, std::size_t concurrency);

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::sidecar
