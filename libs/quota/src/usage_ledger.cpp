#include <medlarrack/quota/usage_ledger.hpp>

#include <algorithm>
#include <chrono>

namespace medlarrack::quota {

namespace {

/// Four reporting intervals: a gateway that is silent for longer sends nothing either.
constexpr std::chrono::seconds rateLifetime{2};
/// A bucket overdrawn by more than this time of its rate would bar a tenant for requests that ran long ago.
constexpr double maxDebtSeconds = 2;
/// Tenants of the largest planned deployment; reports of further ones replace the bucket that was idle longest.
constexpr std::size_t maxBuckets = 100'000;

} // namespace

core::tenant_total usage_ledger::record(std::string_view gateway, const core::tenant_report &report,
                                        std::uint64_t stateVersion, core::monotonic_time now)
{
    bucket &target = bucketFor(report, now);
    refill(target, now);
    if (stateVersion >= target.stateVersion) {
        target.stateVersion = stateVersion;
        target.limits = report.limits;
    }
    const double lowest = -target.limits.perSecond * maxDebtSeconds;
    target.level = std::clamp(target.level - report.admitted, lowest, std::max(lowest, target.limits.burst));
    target.gateways.insert_or_assign(std::string(gateway), gateway_rate{std::max(0.0, report.askedPerSecond), now});
    return totalOf(*m_buckets.find(report.tenant));
}

std::vector<core::tenant_total> usage_ledger::totals(core::monotonic_time now)
{
    std::vector<core::tenant_total> all;
    all.reserve(m_buckets.size());
    for (auto &entry : m_buckets) {
        refill(entry.second, now);
        all.push_back(totalOf(entry));
    }
    return all;
}

std::size_t usage_ledger::size() const
{
    return m_buckets.size();
}

usage_ledger::bucket &usage_ledger::bucketFor(const core::tenant_report &report, core::monotonic_time now)
{
    const auto found = m_buckets.find(report.tenant);
    if (found != m_buckets.end()) {
        return found->second;
    }
    if (m_buckets.size() >= maxBuckets) {
        m_buckets.erase(std::min_element(m_buckets.begin(), m_buckets.end(), [](const auto &left, const auto &right) {
            return left.second.filledAt < right.second.filledAt;
        }));
    }
    bucket &made = m_buckets[report.tenant];
    made.limits = report.limits;
    made.level = report.limits.burst;
    made.filledAt = now;
    return made;
}

void usage_ledger::refill(bucket &of, core::monotonic_time now)
{
    const double seconds = std::chrono::duration<double>(now - of.filledAt).count();
    of.level = std::min(of.limits.burst, of.level + std::max(0.0, seconds) * of.limits.perSecond);
    of.filledAt = now;
    std::erase_if(of.gateways, [now](const auto &entry) {
        return now - entry.second.reportedAt > rateLifetime;
    });
}

core::tenant_total usage_ledger::totalOf(const bucket_map::value_type &entry)
{
    core::tenant_total total{entry.first, entry.second.level, 0};
    for (const auto &[name, rate] : entry.second.gateways) {
        total.askedPerSecond += rate.askedPerSecond;
    }
    return total;
}

} // namespace medlarrack::quota
