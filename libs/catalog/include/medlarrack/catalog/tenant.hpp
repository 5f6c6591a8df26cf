#pragma once

#include <medlarrack/core/digest.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarrack::catalog {

/// What the requests of a tenant may cost over all gateways: a token bucket.
struct tenant_quota
{
    /// Units per second; 0 for no limit.
    double perSecond = 0;
    /// Units that may be spent at once.
    double burst = 0;
    /// Units are the tokens of prompts and outputs; otherwise each request costs one unit.
    bool countsTokens = false;
    /// Cost of a request that names no number of tokens, if tokens are counted.
    std::uint32_t defaultCost = 0;
};

/// A customer whose requests carry one of its keys. The keys themselves are not kept.
struct tenant
{
    std::string name;
    std::vector<core::sha256_digest> keyDigests;
    /// Goes before the priority of the route; 0 is served first. Not set if the route alone decides.
    std::optional<std::uint32_t> priority;
    tenant_quota quota;
};

} // namespace medlarrack::catalog
