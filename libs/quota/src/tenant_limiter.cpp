#include "asked_rate.hpp"

#include <medlarrack/quota/tenant_limiter.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace medlarrack::quota {

namespace {

using std::chrono::milliseconds;

/// A total without a newer one for this long isn't relied on: reports are due twice in this time.
constexpr milliseconds totalLifetime{1'000};
/// Interval of reports of a tenant that is far from its quota.
constexpr milliseconds calmReportInterval{500};
/// Interval of reports while the bucket may run empty: what is admitted beyond the quota until all gateways know of it
/// is proportional to it.
constexpr milliseconds busyReportInterval{100};
/// Part of its burst below which a bucket may run empty between two calm reports.
constexpr double busyLevel = 0.5;
/// Time of a gateway's share of the rate that it may admit before it reports at the shorter interval.
constexpr double maxUnreportedSeconds = 0.25;
/// Share of a gateway that has never heard of a bucket. Small deployments have fewer gateways, larger ones hear sooner.
constexpr double unknownShare = 1.0 / 16;
/// Time for which a tenant that was idle here is admitted without news, up to its burst: a report is due within 100 ms,
/// and its answer takes about as long. A tenant that asks for 7.5 times its rate gets 2.25 s of it from all gateways in
/// this time, as much as a quarter of 8 s and a burst of one second.
constexpr milliseconds firstTotalTime{300};
/// Least share assumed in deciding when to report.
constexpr double minReportShare = 1.0 / 64;
/// Time of its share of the rate that a gateway saves up while it relies on it.
constexpr double shareBurstSeconds = 0.25;
/// Part of the rate that is admitted while the bucket is overdrawn; the rest repays what was admitted too much.
constexpr double repayingShare = 0.9;
/// Units per second below which a tenant isn't active.
constexpr double activeFraction = 0.001;
constexpr milliseconds minRetryAfter{200};
constexpr milliseconds maxRetryAfter{5'000};

double inSeconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

/// A bucket without a burst would admit only by shares.
core::bucket_limits effective(core::bucket_limits limits)
{
    constexpr double minBurstSeconds = 0.1;
    limits.burst = std::max(limits.burst, limits.perSecond * minBurstSeconds);
    return limits;
}

/// What was told to an agent and heard from it.
struct agent_view
{
    core::monotonic_time reportedAt{};
    /// Units admitted in all when the report was made, and the rate that it named.
    double admittedAtReport = 0;
    double askedInReport = 0;
    /// One report at a time is on its way, so that it is known what a total includes.
    bool awaitsTotal = false;
    /// Of the latest report that was answered.
    std::optional<core::tenant_total> total;
    core::monotonic_time totalAsOf{};
    double admittedAtTotal = 0;
    double askedAtTotal = 0;
};

struct tenant_state
{
    core::bucket_limits limits;
    detail::asked_rate asked;
    double admitted = 0;
    std::uint64_t refused = 0;
    double share = unknownShare;
    /// Units left of this gateway's share; may be negative.
    double shareLevel = 0;
    core::monotonic_time shareFilledAt{};
    core::monotonic_time lastAskedAt{};
    /// When the requests began that no idle time interrupts, and what had been admitted by then.
    core::monotonic_time activeSince{};
    double admittedBefore = 0;
    std::map<std::string, agent_view, std::less<>> agents;
};

using tenant_map = std::map<std::string, tenant_state, std::less<>>;

} // namespace

class tenant_limiter::impl
{
public:
    /// The state of a tenant that has been idle here for as long as it is known.
    static tenant_state newState(core::monotonic_time now)
    {
        tenant_state state;
        state.shareFilledAt = now;
        state.activeSince = now;
        state.lastAskedAt = now;
        return state;
    }

    /// Decides on a request and counts it, unless it is refused, in the state that is given.
    static bool decide(tenant_state &state, const core::bucket_limits &limits, double cost, core::monotonic_time now)
    {
        if (now - state.lastAskedAt > totalLifetime) {
            state.activeSince = now;
            state.admittedBefore = state.admitted;
        }
        state.lastAskedAt = now;
        state.limits = limits;
        state.asked.record(cost, now);
        updateShare(state, now);
        const std::optional<double> level = estimate(state, now);
        refillShare(state, level && *level <= 0, now);
        // A process that stood still gets the requests of that time at once, and its totals are too old.
        const bool awaitsFirstTotal =
            !level && now - state.activeSince < firstTotalTime && state.admitted - state.admittedBefore < limits.burst;
        const bool reliesOnShare = !awaitsFirstTotal && (!level || *level <= 0);
        if (reliesOnShare && state.shareLevel <= 0) {
            ++state.refused;
            return false;
        }
        // Also charged while all is admitted: otherwise each gateway would have one more request to its credit once the
        // bucket is empty. The debt of that time is bounded.
        const double lowest = -std::max(cost, limits.perSecond * state.share * shareBurstSeconds);
        state.shareLevel = reliesOnShare ? state.shareLevel - cost : std::max(state.shareLevel - cost, lowest);
        state.admitted += cost;
        return true;
    }

    [[nodiscard]] static milliseconds timeToAdmission(const tenant_state &state, core::monotonic_time now)
    {
        const double rate = state.limits.perSecond * std::max(state.share, minReportShare);
        const double passed = inSeconds(now - state.shareFilledAt);
        const std::chrono::duration<double> wait(rate > 0 ? std::max(0.0, -state.shareLevel / rate - passed) : 0.0);
        return std::clamp(std::chrono::ceil<milliseconds>(std::min(wait, std::chrono::duration<double>(maxRetryAfter))),
                          minRetryAfter, maxRetryAfter);
    }

    /// Estimate of the bucket by the agent that knows of most use; nothing without fresh totals.
    [[nodiscard]] static std::optional<double> estimate(const tenant_state &of, core::monotonic_time now)
    {
        std::optional<double> least;
        for (const auto &[agent, view] : of.agents) {
            if (!view.total || now - view.totalAsOf > totalLifetime) {
                continue;
            }
            const double others = std::max(0.0, view.total->askedPerSecond - view.askedAtTotal);
            const double gained = (of.limits.perSecond - others) * inSeconds(now - view.totalAsOf);
            const double level = std::min(view.total->level, of.limits.burst) + gained;
            const double left = std::min(level, of.limits.burst) - (of.admitted - view.admittedAtTotal);
            least = std::min(least.value_or(left), left);
        }
        return least;
    }

    /// Updates the share of the rate by what this gateway and all of them are asked for.
    static void updateShare(tenant_state &of, core::monotonic_time now)
    {
        const double own = of.asked.perSecond(now);
        std::optional<double> share;
        for (const auto &[agent, view] : of.agents) {
            if (!view.total || now - view.totalAsOf > totalLifetime) {
                continue;
            }
            const double all = std::max(0.0, view.total->askedPerSecond - view.askedAtTotal) + own;
            const double part = all > 0 ? own / all : 1;
            share = std::min(share.value_or(part), part);
        }
        of.share = share.value_or(of.share);
    }

    static void refillShare(tenant_state &of, bool isOverdrawn, core::monotonic_time now)
    {
        const double rate = of.limits.perSecond * of.share * (isOverdrawn ? repayingShare : 1);
        const double seconds = std::max(0.0, inSeconds(now - of.shareFilledAt));
        of.shareLevel = std::min(rate * shareBurstSeconds, of.shareLevel + seconds * rate);
        of.shareFilledAt = now;
    }

    [[nodiscard]] static bool isReportDue(const tenant_state &of, const agent_view &view, core::monotonic_time now)
    {
        const auto sinceReport = now - view.reportedAt;
        if (view.reportedAt == core::monotonic_time{} || sinceReport >= calmReportInterval) {
            return true;
        }
        if (sinceReport < busyReportInterval || view.awaitsTotal) {
            return false;
        }
        const double unreported = of.admitted - view.admittedAtReport;
        const double mayAdmit = of.limits.perSecond * maxUnreportedSeconds * std::max(of.share, minReportShare);
        const std::optional<double> level = estimate(of, now);
        return unreported > mayAdmit || !level || *level < busyLevel * of.limits.burst;
    }

    [[nodiscard]] static bool isActive(const tenant_state &of, const agent_view &view, core::monotonic_time now)
    {
        return of.asked.perSecond(now) > of.limits.perSecond * activeFraction || of.admitted != view.admittedAtReport;
    }

    tenant_map tenants;
};

tenant_limiter::tenant_limiter()
    : m_impl(std::make_unique<impl>())
{
}

tenant_limiter::~tenant_limiter() = default;

bool tenant_limiter::admit(std::string_view tenant, const core::bucket_limits &given, double cost,
                           core::monotonic_time now)
{
    if (given.perSecond <= 0) {
        return true;
    }
    auto found = m_impl->tenants.find(tenant);
    if (found == m_impl->tenants.end()) {
        found = m_impl->tenants.emplace(std::string(tenant), impl::newState(now)).first;
    }
    return impl::decide(found->second, effective(given), cost, now);
}

std::optional<milliseconds> tenant_limiter::predictRefusal(std::string_view tenant, const core::bucket_limits &limits,
                                                           double cost, core::monotonic_time now) const
{
    if (limits.perSecond <= 0) {
        return std::nullopt;
    }
    const auto found = m_impl->tenants.find(tenant);
    tenant_state state = found == m_impl->tenants.end() ? impl::newState(now) : found->second;
    if (impl::decide(state, effective(limits), cost, now)) {
        return std::nullopt;
    }
    return impl::timeToAdmission(state, now);
}

void tenant_limiter::giveBack(std::string_view tenant, double cost)
{
    if (const auto found = m_impl->tenants.find(tenant); found != m_impl->tenants.end()) {
        found->second.admitted -= cost;
    }
}

milliseconds tenant_limiter::timeToAdmission(std::string_view tenant, core::monotonic_time now) const
{
    const auto found = m_impl->tenants.find(tenant);
    return found == m_impl->tenants.end() ? minRetryAfter : impl::timeToAdmission(found->second, now);
}

std::vector<core::tenant_report>
tenant_limiter::takeReports(std::string_view agent, const std::function<bool(std::string_view tenant)> &isKeptThere,
                            core::monotonic_time now)
{
    std::vector<core::tenant_report> reports;
    for (auto &[tenant, state] : m_impl->tenants) {
        if (!isKeptThere(tenant)) {
            continue;
        }
        const auto [found, isNew] = state.agents.try_emplace(std::string(agent));
        agent_view &view = found->second;
        if (isNew) {
            // What was admitted before was told to the agents of that time.
            view.admittedAtReport = state.admitted;
        }
        if (!impl::isReportDue(state, view, now) || (!isNew && !impl::isActive(state, view, now))) {
            continue;
        }
        const double asked = state.asked.perSecond(now);
        reports.push_back({tenant, state.limits, state.admitted - view.admittedAtReport, asked});
        view.reportedAt = now;
        view.admittedAtReport = state.admitted;
        view.askedInReport = asked;
        view.awaitsTotal = true;
    }
    return reports;
}

void tenant_limiter::recordTotal(std::string_view agent, const core::tenant_total &total)
{
    const auto found = m_impl->tenants.find(total.tenant);
    if (found == m_impl->tenants.end()) {
        return;
    }
    const auto view = found->second.agents.find(agent);
    if (view == found->second.agents.end()) {
        return;
    }
    view->second.awaitsTotal = false;
    view->second.total = total;
    // As old as the report at least: a process that stood still reads an old answer late.
    view->second.totalAsOf = view->second.reportedAt;
    view->second.admittedAtTotal = view->second.admittedAtReport;
    view->second.askedAtTotal = view->second.askedInReport;
}

void tenant_limiter::forgetAgent(std::string_view agent)
{
    for (auto &[tenant, state] : m_impl->tenants) {
        if (const auto found = state.agents.find(agent); found != state.agents.end()) {
            state.agents.erase(found);
        }
    }
}

std::vector<tenant_usage> tenant_limiter::usage(core::monotonic_time now) const
{
    std::vector<tenant_usage> all;
    all.reserve(m_impl->tenants.size());
    for (const auto &[tenant, state] : m_impl->tenants) {
        all.push_back({tenant, state.limits, state.admitted, state.refused, state.asked.perSecond(now), state.share,
                       impl::estimate(state, now)});
    }
    return all;
}

} // namespace medlarrack::quota
