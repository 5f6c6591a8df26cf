#pragma once

#include <medlarrack/gateway/replica_table.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// What a choice is made for.
struct choice_query
{
    std::string_view service;
    /// Base model, empty for plain services.
    std::string_view model;
    /// "model/adapter"; empty if none is named.
    std::string_view adapter;
    /// Requests that a replica runs at once.
    std::uint32_t batchSize = 1;
    /// Recent requests of this process for the adapter.
    double demand = 0;
    /// Replicas that have had this request.
    std::span<const std::string> tried;
    /// It may be sent to another replica after its run may have begun.
    bool mayRunAgain = false;
};

/// Where a request goes.
struct replica_choice
{
    /// Null if no replica can take it.
    replica_ptr target;
    /// The adapter isn't loaded there yet; it is to be asked for.
    bool needsLoad = false;
    /// Another replica that is to load the adapter because demand fills this one; usually null.
    replica_ptr alsoLoadAt;
    /// There are replicas, but all are full or have too many adapters to load.
    bool saturated = false;
    /// There is no engine with the base model, but one is about to load it or has not told yet.
    bool engineStarting = false;
    /// Why there, for the log.
    std::string_view why;
};

/// Chooses a replica of a plain service: the one expected to answer first. Answers the pattern of few replicas with few
/// slots each, of which one may be slow, failing or gone.
[[nodiscard]] replica_choice choosePlain(const replica_table &table, const choice_query &asked,
                                         core::monotonic_time now);

/// Chooses a replica of a model service. Answers the pattern of many adapters by a Zipf law before few slots: an
/// adapter has one home by rendezvous hashing over all data centres, is used where it is loaded, and gets a further
/// home while its demand fills the ones it has or costs more between data centres than a load.
[[nodiscard]] replica_choice chooseEngine(const replica_table &table, const choice_query &asked,
                                          core::monotonic_time now);

/// Whether the replica takes requests at all: it neither leaves nor has asked for quiet.
[[nodiscard]] bool acceptsRequests(const replica &one, core::monotonic_time now);

/// Whether the adapter is loaded at a replica in its newest published version.
[[nodiscard]] bool holdsAdapter(const replica_table &table, const replica &at, std::string_view adapter);

} // namespace medlarrack::gateway
