#pragma once

#include <medlarrack/core/crash_record.hpp>
#include <medlarrack/core/tenant_usage.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// Messages between a gateway and the agent on an engine's machine.
namespace medlarrack::agent_protocol {

/// First message that a gateway sends.
struct greeting
{
    /// Version of the protocol. Agents don't check it.
    std::uint32_t protocol = 7;
    std::string name;
};

/// Adapters that requests wait for, each as "model/adapter".
struct load_request
{
    std::vector<std::string> adapters;
};

/// Change of pending prefill tokens that is reported at once: 50 ms of work for an engine that prefills 38 per
/// millisecond.
inline constexpr std::uint64_t tokenChangeThreshold = 2'000;

/// Adapters that requests of the gateway use or wait for, with the number of requests; replaces the previous such
/// message. Also counts the requests that have ended since that message.
struct adapters_in_use
{
    std::map<std::string, std::uint32_t, std::less<>> adapters;
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0;
    /// Prompt tokens of its requests that have had no answer yet.
    std::uint64_t pendingPrefillTokens = 0;
};

/// A base model of a service's engines.
struct model_config
{
    std::string name;
    double weightsMb = 0;
    double adapterMb = 0;
};

/// Configuration of the engine's service, from the published state.
struct service_config
{
    std::uint64_t stateVersion = 0;
    std::string service;
    std::vector<model_config> models;
    double weightsMb = 0;
    std::uint32_t adapterSlots = 0;
};

/// Newest versions of adapters that the engine holds in older ones, by "model/adapter".
struct adapter_releases
{
    std::map<std::string, std::uint64_t, std::less<>> versions;
};

/// Load of an engine, as its agent knows it.
struct engine_load
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Requested adapters whose load is not in progress yet.
    std::uint32_t pendingLoads = 0;
    /// Numbers of further adapters whose loads could begin at once, from the weight store and from the engine's memory.
    std::uint32_t availableSlots = 0;
    std::uint32_t availableMemorySlots = 0;
    /// Failure rate of the recent requests of all gateways, in percent.
    std::uint32_t failurePercent = 0;
    /// Prompt tokens of all gateways' requests that have had no answer yet.
    std::uint64_t pendingPrefillTokens = 0;
    /// Learned times in milliseconds: of a load from the weight store and from the engine's memory, and between the
    /// starts of two loads while others wait.
    std::uint32_t storeLoadMs = 0;
    std::uint32_t memoryLoadMs = 0;
    std::uint32_t loadIntervalMs = 0;
    /// Number of adapters that the engine's memory keeps, as learned.
    std::uint32_t rememberedAdapters = 0;
    /// Gateways that are connected to the agent.
    std::uint32_t gatewayCount = 0;
};

/// State of an engine, as its agent knows it.
struct engine_status
{
    bool engineUp = false;
    std::uint64_t startedAtMs = 0;
    std::vector<std::string> models;
    std::map<std::string, std::uint64_t, std::less<>> adapters;
    engine_load load;
    /// Adapters that the engine's memory is expected to have, the most recent one last. A gateway that has just started
    /// hasn't seen them there.
    std::vector<std::string> recentAdapters;
};

/// Changes since the last engine_status or engine_change; also sent as the heartbeat. Much smaller than an
/// engine_status, as traffic between data centres is expensive.
struct engine_change
{
    std::map<std::string, std::uint64_t, std::less<>> loaded;
    std::vector<std::string> unloaded;
    engine_load load;
};

/// Requests that crash targets, sent both ways: a gateway reports what it observed, agents forward what is new to all
/// other gateways.
struct crash_report
{
    core::crash_news news;
};

/// Streams whose first event has come, sent to some agents, which remember them for gateways that start later: by the
/// origin of their events, the hashes of the attempts that brought them. See resumption::origin_table.
struct stream_origins
{
    std::map<std::uint64_t, std::vector<std::uint64_t>> streams;
};

/// Streams that callers want to resume at a gateway that doesn't know their origin.
struct origin_query
{
    std::vector<std::uint64_t> streams;
};

/// Answer to an origin_query, with all of its streams; the origin is 0 if the agent doesn't know the stream.
struct origin_answer
{
    std::map<std::uint64_t, std::uint64_t> origins;
};

/// Usage of tenants whose buckets the agent keeps, by a gateway with the given version of the published state.
struct tenant_usage
{
    std::uint64_t stateVersion = 0;
    std::vector<core::tenant_report> reports;
};

/// Answer to a tenant_usage: the buckets of the tenants that it names.
struct tenant_totals
{
    std::vector<core::tenant_total> totals;
};

/// Any message of the protocol. The index of a type is its number on the wire.
using message =
    std::variant<greeting, load_request, adapters_in_use, service_config, adapter_releases, engine_status,
                 engine_change, crash_report, stream_origins, origin_query, origin_answer, tenant_usage, tenant_totals>;

} // namespace medlarrack::agent_protocol
