#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/tenant_usage.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::quota {

/// Adds up what gateways report of each tenant's usage, on behalf of all of them. Soft state: a ledger that starts
/// empty holds full buckets and knows the requested rates after one report of each gateway. Not thread-safe.
class usage_ledger
{
public:
    /// Limits of a state version older than the newest one seen are ignored.
    core::tenant_total record(std::string_view gateway, const core::tenant_report &report, std::uint64_t stateVersion,
                              core::monotonic_time now);
    /// The bucket of each tenant at present.
    [[nodiscard]] std::vector<core::tenant_total> totals(core::monotonic_time now);
    [[nodiscard]] std::size_t size() const;

private:
    struct gateway_rate
    {
        double askedPerSecond = 0;
        core::monotonic_time reportedAt{};
    };
    struct bucket
    {
        core::bucket_limits limits;
        std::uint64_t stateVersion = 0;
        double level = 0;
        core::monotonic_time filledAt{};
        std::map<std::string, gateway_rate, std::less<>> gateways;
    };
    using bucket_map = std::map<std::string, bucket, std::less<>>;

    bucket &bucketFor(const core::tenant_report &report, core::monotonic_time now);
    static void refill(bucket &of, core::monotonic_time now);
    [[nodiscard]] static core::tenant_total totalOf(const bucket_map::value_type &entry);

    bucket_map m_buckets;
};

} // namespace medlarrack::quota
