#pragma once

#include <string>

namespace medlarrack::core {

/// Token bucket of a tenant, shared by all gateways. Units are tokens or requests.
struct bucket_limits
{
    double perSecond = 0;
    double burst = 0;
};

/// What one gateway admitted of a tenant's requests since its previous report to the same agent.
struct tenant_report
{
    std::string tenant;
    bucket_limits limits;
    /// Units admitted; negative if more was given back.
    double admitted = 0;
    /// Units per second that the gateway is asked for at present, whether it admits them or not.
    double askedPerSecond = 0;
};

/// What the gateways that report to an agent have used of a tenant's bucket.
struct tenant_total
{
    std::string tenant;
    /// Units that the bucket holds; negative if more was admitted than it held.
    double level = 0;
    /// Units per second that all gateways together are asked for.
    double askedPerSecond = 0;
};

} // namespace medlarrack::core
