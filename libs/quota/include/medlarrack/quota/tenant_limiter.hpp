#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/tenant_usage.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace medlarrack::quota {

/// What a tenant has used at this gateway, for operators.
struct tenant_usage
{
    std::string_view tenant;
    core::bucket_limits limits;
    double admittedUnits = 0;
    std::uint64_t refusedRequests = 0;
    /// Units per second that this gateway is asked for at present, whether it admits them or not.
    double askedPerSecond = 0;
    /// Of the fleet's rate that this gateway may admit while the tenant exceeds its quota, 0 to 1.
    double share = 0;
    /// Estimate of the fleet's bucket; nothing while no agent has told of it.
    std::optional<double> level;
};

/// Decides at one gateway which requests are within their tenants' quotas over all gateways. Each tenant's bucket is
/// kept by some agents, which gateways report to and hear of. As long as the bucket is known to hold something, every
/// request is admitted; otherwise the gateway admits its share of the rate, by what it is asked for. Without news it
/// goes on with its last share, so that gateways that are cut off don't exceed the quota together. A request is
/// admitted if there is anything left, so that requests of any size are admitted alike. Not thread-safe.
class tenant_limiter
{
public:
    tenant_limiter();
    ~tenant_limiter();
    tenant_limiter(const tenant_limiter &) = delete;
    tenant_limiter &operator=(const tenant_limiter &) = delete;

    /// Whether a request may run. Counts what it costs if it may. Limits of 0 units per second admit all.
    [[nodiscard]] bool admit(std::string_view tenant, const core::bucket_limits &limits, double cost,
                             core::monotonic_time now);
    /// What admit() would decide, without counting the request: the time until it may be admitted if it would be
    /// refused now, else nothing.
    [[nodiscard]] std::optional<std::chrono::milliseconds> predictRefusal(std::string_view tenant,
                                                                          const core::bucket_limits &limits,
                                                                          double cost, core::monotonic_time now) const;
    /// Takes the cost of an admitted request back that no replica has run.
    void giveBack(std::string_view tenant, double cost);
    /// Time until a request of a tenant that was refused now may be admitted.
    [[nodiscard]] std::chrono::milliseconds timeToAdmission(std::string_view tenant, core::monotonic_time now) const;

    /// Reports that are due to an agent, one for each tenant that the predicate assigns to it and that is active here.
    [[nodiscard]] std::vector<core::tenant_report>
    takeReports(std::string_view agent, const std::function<bool(std::string_view tenant)> &isKeptThere,
                core::monotonic_time now);
    /// An agent's answer to the latest report.
    void recordTotal(std::string_view agent, const core::tenant_total &total);
    /// The connection to an agent is lost: what it has been told counts no more.
    void forgetAgent(std::string_view agent);

    [[nodiscard]] std::vector<tenant_usage> usage(core::monotonic_time now) const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::quota
