#pragma once

#include <medlarrack/gateway/prompt_sizes.hpp>
#include <medlarrack/gateway/replica_table.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::gateway {

/// The request that a replica is chosen for, and its limits.
struct choice_query
{
    std::string_view service;
    /// Base model, empty for plain services.
    std::string_view model;
    /// "model/adapter"; empty if none is named.
    std::string_view adapter;
    /// Requests that a replica runs concurrently.
    std::uint32_t batchSize = 1;
    /// Decayed count of this process's requests for the adapter.
    double demand = 0;
    /// Ids of the replicas that this request was already sent to.
    std::span<const std::string> tried;
    /// The request may be sent to another replica after its run may have begun.
    bool mayRunAgain = false;
    /// Time that the request may wait for its adapter or for a replica.
    std::chrono::milliseconds maxLoadWait{1'500};
    /// Only replicas whose streams have this origin; any if it is unknown.
    resumption::stream_origin origin = resumption::unknownOrigin;
    /// Time until the deadline, if the request may be refused because no replica is expected to answer in time.
    std::optional<std::chrono::nanoseconds> timeLeft;
    /// The request comes back after a refusal: it goes before first attempts.
    bool isCallerRetry = false;
    /// Tokens of the prompt; 0 if not known.
    std::uint32_t promptTokens = 0;
    /// Sizes of the service's prompts. Null: engines are not chosen by the size of the prompt.
    const prompt_sizes *sizes = nullptr;
    /// Random number by which requests of the same kind are spread over engines of about the same expected time.
    std::uint64_t salt = 0;
};

/// The replica chosen for a request.
struct replica_choice
{
    /// Null if no replica can take it.
    replica_ptr target;
    /// The adapter isn't loaded at the target yet; its load has to be requested.
    bool needsLoad = false;
    /// A further replica that should load the adapter because demand for it fills the target or comes from another data
    /// centre; usually null.
    replica_ptr alsoLoadAt;
    /// No target because all usable replicas are at capacity or have too many adapter loads queued.
    bool saturated = false;
    /// No target, but an engine is expected to be usable soon: it is loading the base model or hasn't reported yet.
    bool engineStarting = false;
    /// No target, but a replica may be usable again in time: it is quiet, limits its requests or has failed of late.
    bool hindered = false;
    /// Reason for the choice; logged, and given to the caller if there is no target.
    std::string_view why;
    /// Expected time to an answer of a plain service, at the target or, without one, at the best replica.
    std::chrono::nanoseconds expectedTime{0};
};

/// Chooses a replica of a plain service by its expected time to an answer. Meant for services of few replicas with few
/// slots each, of which some may be slow, failing or gone. Reports are old and the same for many processes: a replica
/// is drawn in proportion to the requests that would bring all replicas to the same expected time. No target and
/// `saturated` if none is expected to answer in time, unless less than half of the slots are taken and nothing waits.
[[nodiscard]] replica_choice choosePlain(const replica_table &table, const choice_query &query,
                                         core::monotonic_time now, std::minstd_rand &random);

/// What a choice compares a replica by.
struct expected_time
{
    replica_ptr at;
    std::chrono::nanoseconds time{0};
};

/// Expected times to an answer of the replicas that choosePlain() would choose from now.
[[nodiscard]] std::vector<expected_time> plainTimes(const replica_table &table, const choice_query &query,
                                                    core::monotonic_time now);

/// Time until half of the shortest queue at the usable replicas of a plain service has been served, when requests like
/// those refused now are expected to have room. Zero if nothing is known to wait.
[[nodiscard]] std::chrono::nanoseconds timeToRoom(const replica_table &table, std::string_view service,
                                                  core::monotonic_time now);

/// Durations of work at the replicas of a plain service that have answered.
struct work_time_range
{
    std::chrono::nanoseconds shortest{0};
    std::chrono::nanoseconds longest{0};
};

/// Empty if none of the service's replicas has answered yet.
[[nodiscard]] std::optional<work_time_range> workTimes(const replica_table &table, std::string_view service,
                                                       core::monotonic_time now);

/// Chooses a replica of a model service. Meant for many adapters of Zipf-distributed popularity that share few slots:
/// an adapter has a home by rendezvous hashing over all data centres, is used where it is loaded, and gets a further
/// home while its demand fills its engines or costs more traffic between data centres than a load.
[[nodiscard]] replica_choice chooseEngine(const replica_table &table, const choice_query &query,
                                          core::monotonic_time now);

/// Expected times to the first event of the engines that chooseEngine() would choose from now, with its penalties. A
/// load of the adapter isn't part of them.
[[nodiscard]] std::vector<expected_time> engineTimes(const replica_table &table, const choice_query &query,
                                                     core::monotonic_time now);

/// Average time until an adapter load that is requested now would be complete, by what the engine's agent has learned.
[[nodiscard]] std::chrono::milliseconds expectedLoadTime(const replica &at, std::string_view adapter);

/// Whether the replica accepts requests: it is listed, not leaving and not in a quiet period.
[[nodiscard]] bool acceptsRequests(const replica &candidate, core::monotonic_time now);

/// Whether a stream of an origin can be resumed at the replica.
[[nodiscard]] bool mayResume(const replica &at, resumption::stream_origin origin);

/// Whether a replica holds the adapter in its newest published version.
[[nodiscard]] bool holdsAdapter(const replica_table &table, const replica &at, std::string_view adapter);

} // namespace medlarrack::gateway
