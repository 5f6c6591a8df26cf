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
    /// An engine has adapters and takes orders; a plain service has none.
    bool isEngine = true;
    /// Name of the service; empty for an engine.
    std::string service;
    scheduler_limits limits;
    /// Take the number of slots and the batch size from the engine's own report or from what is published.
    bool adoptSlots = true;
    bool adoptConcurrency = true;
    idempotency::settings keySettings;
    std::size_t maxBodyBytes = 1U << 20U;
    /// A caller that lets more than this pile up loses its stream.
    std::size_t maxBufferedBytes = 4U << 20U;
    std::chrono::milliseconds pollInterval{500};
    /// A gap in this process's activity that counts as a pause.
    std::chrono::milliseconds shortestPause{1'000};
    /// After the start of a drain queued requests may still start for this long.
    std::chrono::milliseconds drainGrace{2'000};
    /// After a connection to the engine broke, how long its restart is waited for before it counts as crashed.
    std::chrono::milliseconds crashCheck{1'000};
    /// A run may go on for this long after its deadline while the entry still waits for it.
    std::chrono::milliseconds maxRunPastDeadline{600'000};
    std::uint64_t seed = 0;
};

/// What the dispatcher stands on. All must outlive it.
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
    /// Where the engine finds an adapter's weights.
    std::function<std::string(const core::adapter_ref &)> weightsUrl;
    /// Asks another replica for its seal of a key; answered by dispatcher::onSealReply().
    std::function<void(const std::string &memberId, const std::string &key)> requestSeal;
};

/// State for reports and people.
struct dispatcher_state
{
    std::size_t queued = 0;
    std::size_t running = 0;
    std::size_t concurrency = 0;
    std::size_t slots = 0;
    std::vector<core::adapter_ref> adapters;
    bool targetUp = false;
    bool draining = false;
    /// A newer process gives the target its orders.
    bool superseded = false;
    std::uint64_t pauses = 0;
    std::uint64_t targetStartedMs = 0;
    /// Idempotency keys on record.
    std::size_t keys = 0;
};

/// The sole owner of its target's work: takes requests from entries, runs them at the target in the scheduler's order,
/// relays answers, gives the target its orders, and says of each request truthfully what became of it. Thread-safe:
/// one mutex guards all tables; no call to the driver or to a reply stream is made under it.
class dispatcher
{
public:
    dispatcher(dispatcher_options options, dispatcher_dependencies dependencies);
    ~dispatcher();
    dispatcher(const dispatcher &) = delete;
    dispatcher &operator=(const dispatcher &) = delete;

    /// Takes a request and answers on the stream.
    void submit(peer::run_request request, const std::shared_ptr<peer::reply_stream> &reply);
    /// To be called every few tens of milliseconds: deadlines, polls of the target, detection of pauses.
    void tick();
    /// Takes no new work from now on; work in progress goes on.
    void drain();
    /// Whether no request is queued or running.
    [[nodiscard]] bool idle() const;
    /// Whether new work is taken.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] dispatcher_state state() const;

    /// The instance list was read: the ids of this target group's sidecars, leaving ones included.
    void onInstanceList(core::wall_time asOf, std::span<const std::string> members);
    /// Another replica asks for a seal.
    [[nodiscard]] peer::seal_reply onSealRequest(const peer::seal_request &request);
    /// What a replica that was asked for a seal said; nothing when it gave no answer.
    void onSealReply(const std::string &memberId, const std::string &key, const std::optional<peer::seal_reply> &reply);

    /// Makes a change to the eviction policy or the load budget while the dispatcher doesn't use them.
    void update(const std::function<void()> &change);
    /// Weight of an operator in fair shares.
    void setWeight(std::string_view operatorName, double weight);
    /// Sizes published for the target's group; they hold unless the engine reports its own.
    void setCapacity(std::size_t slots, std::size_t concurrency);

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::sidecar
