#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The objects that change tickets carry; docs/TICKETS.md describes their JSON form.
namespace medlarrack::tickets {

/// A bearer key, stored as a salted hash.
struct key_hash
{
    std::string salt;
    /// Hexadecimal SHA-256 of the salt followed by the key.
    std::string sha256;
};

struct operator_state
{
    std::vector<key_hash> keys;
    /// Requests in flight at one entry.
    std::uint32_t maxInFlight = 256;
    /// Requests a second at one entry.
    double maxRequestsPerSecond = 500;
    /// Weight in fair shares.
    double weight = 1;
};

struct adapter_state
{
    std::string baseModel;
    /// Engine group that serves it.
    std::string group;
    /// The version that a request without one runs on.
    std::string current;
    /// Source of each version.
    std::map<std::string, std::string, std::less<>> versions;
};

/// A kind of call of a plain service.
struct service_call
{
    std::string method;
    /// Whole path, or a prefix when it ends in "/*".
    std::string path;
    bool idempotent = false;
};

struct service_state
{
    /// Operators that may call it.
    std::vector<std::string> operators;
    std::vector<service_call> calls;

    /// Whether a call may run more than once; false for calls not listed.
    [[nodiscard]] bool isIdempotent(std::string_view method, std::string_view path) const;
    [[nodiscard]] bool allows(std::string_view operatorName) const;
};

/// An engine group and its store's limits.
struct group_state
{
    std::uint32_t slots = 8;
    std::uint32_t batchSize = 16;
    /// 0 weighs batch efficiency only, 1 load stalls only.
    double stallWeight = 0.5;
    double storeLoadsPerSecond = 7;
    std::uint32_t storeLoadsAtOnce = 3;
    std::uint32_t storeTransit = 24;
};

} // namespace medlarrack::tickets
