#include "route_page.hpp"

#include "json_page.hpp"
#include "milliseconds.hpp"
#include "request_terms.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/gateway/attempt_policy.hpp>
#include <medlarrack/gateway/caller_retry_detector.hpp>
#include <medlarrack/gateway/replica_choice.hpp>
#include <medlarrack/gateway/retry_after.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace medlarrack::gateway {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;
/// Time until the deadline of requests that state none.
constexpr milliseconds defaultTimeout{60'000};

/// Empty if the text has an incomplete escape.
std::optional<std::string> percentDecoded(std::string_view text)
{
    constexpr int base = 16;
    constexpr std::size_t digits = 2;
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] != '%') {
            decoded += text[at];
            continue;
        }
        const std::string_view code = text.substr(at + 1, digits);
        unsigned char value = 0;
        const auto [end, error] = std::from_chars(code.data(), code.data() + code.size(), value, base);
        if (error != std::errc() || code.size() != digits || end != code.data() + digits) {
            return std::nullopt;
        }
        decoded += static_cast<char>(value);
        at += digits;
    }
    return decoded;
}

struct described_request
{
    http1::message_head head;
    std::string tenant;
};

/// Empty if the query can't be read.
std::optional<described_request> readQuery(std::string_view query)
{
    described_request request;
    request.head.method = "POST";
    while (!query.empty()) {
        const std::string_view parameter = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), parameter.size() + 1));
        const std::string_view name = parameter.substr(0, parameter.find('='));
        const auto value = percentDecoded(parameter.substr(std::min(parameter.size(), name.size() + 1)));
        if (!value) {
            return std::nullopt;
        }
        if (name == "target") {
            request.head.target = *value;
        } else if (name == "tenant") {
            request.tenant = *value;
        } else if (name == "header") {
            const std::size_t colon = value->find(':');
            if (colon == std::string::npos) {
                return std::nullopt;
            }
            const std::size_t begin = std::min(value->find_first_not_of(" \t", colon + 1), value->size());
            request.head.headers.push_back({value->substr(0, colon), value->substr(begin)});
        } else {
            return std::nullopt;
        }
    }
    return request.head.target.empty() ? std::nullopt : std::optional(std::move(request));
}

json refusal(int status, std::string_view code, std::string_view why, std::optional<milliseconds> retryAfter = {})
{
    json result{{"outcome", "refused"}, {"status", status}, {"code", code}, {"why", why}};
    if (retryAfter) {
        result["retryAfterMs"] = retryAfter->count();
    }
    return result;
}

/// What the explanation of one request is made of.
class explanation
{
public:
    explanation(const exchange_services &services, const described_request &request)
        : m_services(services)
        , m_request(request)
        , m_metadata(services.format.readRequest(request.head))
        , m_now(services.clock.now())
    {
    }

    [[nodiscard]] bool hasKey() const
    {
        return m_metadata.keyDigest.has_value();
    }

    /// Adds to the page in the order in which a request is handled; the first refusal ends it.
    json make()
    {
        m_page["stateVersion"] = m_services.routes.version();
        m_page["decision"] = decide();
        return std::move(m_page);
    }

private:
    json decide()
    {
        if (m_services.routes.isEmpty()) {
            return refuse(refusal_cause::starting, "no_state", "no published state is known yet");
        }
        m_route = m_services.routes.find(m_request.head.value("Host"), m_request.head.target);
        if (m_route == nullptr) {
            return refusal(statusNotFound, "no_route", "no route has this host and path");
        }
        m_service = catalog::selectService(*m_route, core::hash64(m_metadata.id));
        describeRoute();
        if (auto refused = decideTenant()) {
            return *std::move(refused);
        }
        m_page["priority"] = requestUrgency(*m_route, m_tenant.get());
        if (auto refused = decideQuota()) {
            return *std::move(refused);
        }
        return decideReplica();
    }

    void describeRoute()
    {
        m_page["route"] = {{"name", m_route->name},
                           {"priority", m_route->priority},
                           {"public", m_route->isPublic},
                           {"maxAttempts", m_route->maxAttempts},
                           {"mayRunAgain", catalog::mayRetryAfterStart(*m_route)}};
        m_page["service"] = m_service;
    }

    /// The refusal, if the request is refused for its tenant.
    std::optional<json> decideTenant()
    {
        const catalog::tenant_directory &tenants = m_services.routes.tenants();
        if (!tenants.isEnabled()) {
            return std::nullopt;
        }
        const auto &all = tenants.all();
        const auto found = std::find_if(all.begin(), all.end(), [this](const auto &one) {
            return one->name == m_request.tenant;
        });
        m_tenant = found == all.end() ? nullptr : *found;
        if (m_tenant != nullptr) {
            m_page["tenant"] = {{"name", m_tenant->name}};
        }
        if (m_route->isPublic) {
            return std::nullopt;
        }
        const key_policy &policy = m_services.keyPolicy;
        if (policy.failClosed && m_services.storeAge() >= policy.revokeBound) {
            return refuse(refusal_cause::starting, "state_outdated",
                          "the store hasn't answered, keys may have been revoked");
        }
        if (m_tenant != nullptr) {
            return std::nullopt;
        }
        if (m_services.storeAge() >= policy.outdatedAfter) {
            return refuse(refusal_cause::starting, "state_outdated",
                          "the tenant is unknown, and the published state may be outdated");
        }
        return refusal(statusUnauthorized, "unknown_key",
                       m_request.tenant.empty() ? "the route requires a tenant" : "the state has no such tenant");
    }

    /// The refusal, if the request exceeds the quota. It isn't counted.
    std::optional<json> decideQuota()
    {
        if (m_tenant == nullptr || m_tenant->quota.perSecond <= 0) {
            return std::nullopt;
        }
        const catalog::tenant_quota &quota = m_tenant->quota;
        json &shown = m_page["tenant"]["quota"];
        shown = {{"perSecond", quota.perSecond},
                 {"burst", quota.burst},
                 {"unit", quota.countsTokens ? "tokens" : "requests"},
                 {"cost", requestCost(quota, m_metadata)}};
        describeUsage(shown);
        const auto wait = m_services.tenantLimiter.predictRefusal(m_tenant->name, {quota.perSecond, quota.burst},
                                                                  requestCost(quota, m_metadata), m_now);
        if (!wait) {
            return std::nullopt;
        }
        return refusal(statusTooManyRequests, "quota_exceeded", "the quota of the tenant is used up", *wait);
    }

    /// What is left of the tenant's quota.
    void describeUsage(json &shown) const
    {
        const auto usage = m_services.tenantLimiter.usage(m_now);
        const auto used = std::find_if(usage.begin(), usage.end(), [this](const quota::tenant_usage &one) {
            return one.tenant == m_tenant->name;
        });
        if (used == usage.end()) {
            return;
        }
        shown["share"] = used->share;
        if (used->level) {
            shown["left"] = *used->level;
            // Without anything left, the share of this gateway decides.
            shown["limitedToShare"] = *used->level <= 0;
        }
    }

    json decideReplica()
    {
        const catalog::service *service = m_services.routes.findService(m_service);
        const std::uint32_t batchSize = service != nullptr && service->engine ? service->engine->batchSize : 0;
        const bool hasEngine = batchSize > 0 && !m_metadata.model.empty();
        const milliseconds timeout = std::min(m_metadata.timeLeft.value_or(defaultTimeout), m_route->timeout);
        choice_query query;
        query.service = m_service;
        query.model = m_metadata.model;
        query.adapter = m_metadata.adapter;
        query.batchSize = hasEngine ? batchSize : 1;
        query.mayRunAgain = mayRetry(*m_route, attempt_outcome::unknown, {1, 0});
        query.maxLoadWait = maxHoldTime(timeout, callerIdleTimeout(*m_route), false);
        query.timeLeft = timeout;
        if (const auto sizes = m_services.promptSizes.find(m_service); sizes != m_services.promptSizes.end()) {
            query.promptTokens = m_metadata.promptTokens;
            query.sizes = &sizes->second;
        }
        if (!m_metadata.adapter.empty()) {
            // A request counts itself; this one must leave no trace.
            adapter_demand demand = m_services.adapterDemand;
            query.demand = demand.recordRequest(m_metadata.adapter, m_now);
        }
        const std::vector<expected_time> times =
            hasEngine ? engineTimes(m_services.replicas, query, m_now) : plainTimes(m_services.replicas, query, m_now);
        describeCandidates(hasEngine, times);
        // A copy: the choices of requests don't depend on who looks at this page.
        std::minstd_rand random = m_services.random;
        const replica_choice choice = hasEngine ? chooseEngine(m_services.replicas, query, m_now)
                                                : choosePlain(m_services.replicas, query, m_now, random);
        if (choice.target != nullptr) {
            json sent{{"outcome", choice.needsLoad ? "waits_for_adapter" : "sent"},
                      {"replica", choice.target->record.id},
                      {"why", choice.why}};
            addExpectedTime(sent, choice.target, times);
            return sent;
        }
        if (m_services.capacityWaiters.isEnabled() && choice.saturated && query.maxLoadWait.count() > 0) {
            return decideQueue(query.maxLoadWait, choice.why);
        }
        if (awaitsReplica({}, choice, false)) {
            return {{"outcome", "waits_for_replica"}, {"maxWaitMs", query.maxLoadWait.count()}, {"why", choice.why}};
        }
        if (allAreQuiet(m_services.replicas, m_service, m_now)) {
            return refuse(refusal_cause::quiet, "replicas_quiet",
                          "all replicas asked for quiet or limit their requests");
        }
        if (choice.saturated && !hasEngine) {
            return refuse(refusal_cause::replicas_busy, "replicas_busy", choice.why);
        }
        return refuse(choice.saturated ? refusal_cause::adapter_backlog : refusal_cause::no_replica, "no_replica",
                      choice.why);
    }

    /// Whether the request would wait for capacity, or be refused by the queue.
    [[nodiscard]] json decideQueue(milliseconds maxWait, std::string_view why) const
    {
        waiting_request request;
        if (m_tenant != nullptr) {
            request.tenant = m_tenant->name;
        }
        request.urgency = requestUrgency(*m_route, m_tenant.get());
        const milliseconds wait = m_services.capacityWaiters.expectedWait(m_service, request, m_now);
        if (wait < maxWait) {
            return {{"outcome", "waits_for_capacity"},
                    {"expectedWaitMs", wait.count()},
                    {"maxWaitMs", maxWait.count()},
                    {"why", why}};
        }
        const milliseconds backlog =
            retryAfter(refusal_cause::adapter_backlog, m_services.replicas, m_service, m_now, 0);
        return refusal(statusUnavailable, deadlineUnreachable, "no capacity is expected before the deadline",
                       std::max(backlog, wait));
    }

    /// Adds the time that the choice compares the replica by; none if it isn't considered.
    static void addExpectedTime(json &shown, const replica_ptr &at, const std::vector<expected_time> &times)
    {
        const auto found = std::find_if(times.begin(), times.end(), [&at](const expected_time &one) {
            return one.at == at;
        });
        if (found != times.end()) {
            shown["expectedMs"] = inMilliseconds(found->time);
        }
    }

    void describeCandidates(bool hasEngine, const std::vector<expected_time> &times)
    {
        json &candidates = m_page["candidates"];
        candidates = json::array();
        for (const replica_ptr &one : m_services.replicas.findByService(m_service)) {
            json shown{{"replica", one->record.id},
                       {"dataCentre", one->record.dataCentre},
                       {"local", one->local},
                       {"accepts", acceptsRequests(*one, m_now)},
                       {"quiet", one->isQuiet(m_now)},
                       {"withinItsLimit", one->requestLimit.admits(m_now)},
                       {"ejected", one->health.isEjected(m_now)},
                       {"latencyMs", inMilliseconds(one->health.latency())},
                       {"load", one->load()},
                       {"ownRequests", one->outstanding},
                       {"slots", one->record.slots}};
            if (hasEngine) {
                shown["pendingPrefillTokens"] = one->totalPendingPrefillTokens();
                shown["agentConnected"] = one->agent.has_value();
                shown["engineUp"] = one->agent && one->agent->engineUp;
                if (!m_metadata.adapter.empty()) {
                    const bool isHeld = holdsAdapter(m_services.replicas, *one, m_metadata.adapter);
                    shown["holdsAdapter"] = isHeld;
                    if (!isHeld) {
                        shown["adapterLoadMs"] = expectedLoadTime(*one, m_metadata.adapter).count();
                    }
                }
            }
            addExpectedTime(shown, one, times);
            candidates.push_back(std::move(shown));
        }
    }

    /// Without the jitter of a real refusal.
    json refuse(refusal_cause cause, std::string_view code, std::string_view why) const
    {
        return refusal(statusUnavailable, code, why, retryAfter(cause, m_services.replicas, m_service, m_now, 0));
    }

    const exchange_services &m_services;
    const described_request &m_request;
    request_metadata m_metadata;
    core::monotonic_time m_now;
    std::shared_ptr<const catalog::route> m_route;
    std::shared_ptr<const catalog::tenant> m_tenant;
    std::string m_service;
    json m_page;
};

} // namespace

http1::page explainRoute(const exchange_services &services, std::string_view pageTarget)
{
    const std::size_t mark = std::min(pageTarget.find('?'), pageTarget.size());
    const auto request = readQuery(pageTarget.substr(std::min(mark + 1, pageTarget.size())));
    if (!request) {
        return jsonPage(statusBadRequest, {{"error", "the query needs a target, and headers as NAME: VALUE"}});
    }
    explanation made(services, *request);
    if (made.hasKey()) {
        return jsonPage(statusBadRequest,
                        {{"error", "a request is explained by the name of its tenant, without a key"}});
    }
    return jsonPage(statusOk, made.make());
}

} // namespace medlarrack::gateway
