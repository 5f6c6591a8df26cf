#pragma once

#include <medlarrack/core/crash_record.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// The connection between a gateway and the agent beside an engine.
namespace medlarrack::agent_protocol {

/// First message of a gateway.
struct greeting
{
    /// Version of these messages; a peer of another one is refused.
    std::uint32_t protocol = 3;
    std::string name;
};

/// Adapters that requests wait for, by "model/adapter".
struct load_request
{
    std::vector<std::string> adapters;
};

/// Change of unread prompt tokens that is told at once: 50 ms of an engine that reads 38 in a millisecond.
inline constexpr std::uint64_t tokenChangeThreshold = 2'000;

/// Adapters that requests of the gateway use or wait for now, with the number of requests; replaces the last such
/// message. Also what became of its requests since that message.
struct adapters_in_use
{
    std::map<std::string, std::uint32_t, std::less<>> adapters;
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0;
    /// Prompt tokens of its requests that have had no answer yet.
    std::uint64_t pendingPromptTokens = 0;
};

/// A base model that engines of a service hold.
struct model_config
{
    std::string name;
    double weightsMb = 0;
    double adapterMb = 0;
};

/// What the published state says of the engine's service.
struct service_config
{
    std::uint64_t stateVersion = 0;
    std::string service;
    std::vector<model_config> models;
    double weightsMb = 0;
    std::uint32_t adapterSlots = 0;
};

/// Newest versions of adapters, by "model/adapter".
struct adapter_releases
{
    std::map<std::string, std::uint64_t, std::less<>> versions;
};

/// What an engine has to do, as far as its agent knows.
struct engine_load
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Adapters asked for and not on their way yet.
    std::uint32_t pendingLoads = 0;
    /// Further adapters whose loads could begin at once.
    std::uint32_t availableSlots = 0;
    /// Recent requests of all gateways that failed, in hundredths.
    std::uint32_t failurePercent = 0;
    /// Prompt tokens of all gateways' requests that have had no answer yet.
    std::uint64_t pendingPromptTokens = 0;
};

/// What an agent knows of its engine.
struct engine_status
{
    bool engineUp = false;
    std::uint64_t startedAtMs = 0;
    std::vector<std::string> models;
    std::map<std::string, std::uint64_t, std::less<>> adapters;
    engine_load load;
};

/// What has changed since the last engine_status or engine_change; also the heartbeat. Much smaller than a status:
/// bytes between data centres are dear.
struct engine_change
{
    std::map<std::string, std::uint64_t, std::less<>> loaded;
    std::vector<std::string> unloaded;
    engine_load load;
};

/// Requests that crash targets, both ways: a gateway tells what it saw, agents pass on to all gateways what is new.
struct crash_report
{
    core::crash_news news;
};

/// Any message of a link.
using message = std::variant<greeting, load_request, adapters_in_use, service_config, adapter_releases, engine_status,
                             engine_change, crash_report>;

} // namespace medlarrack::agent_protocol
