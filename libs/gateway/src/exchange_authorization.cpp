// Which tenant an exchange's request belongs to, by its key and the published state in force.

#include "exchange.hpp"
#include "request_terms.hpp"

namespace medlarrack::gateway {

namespace {

constexpr int statusUnauthorized = 401;

} // namespace

exchange::key_check exchange::checkKey() const
{
    const catalog::tenant_directory &tenants = m_services.routes.tenants();
    if (!tenants.isEnabled()) {
        return {};
    }
    key_check check;
    const auto &key = m_requestMetadata.keyDigest;
    if (key && !m_requestMetadata.hasSeveralKeys) {
        check.tenant = tenants.find(*key);
    }
    if (m_route->isPublic) {
        return check;
    }
    if (mayMissRevocation()) {
        check.result = key_result::unconfirmed;
    } else if (check.tenant == nullptr) {
        check.result = m_services.storeAge() >= m_services.keyPolicy.outdatedAfter ? key_result::not_yet_known
                                                                                   : key_result::unknown;
    }
    return check;
}

bool exchange::mayMissRevocation() const
{
    const key_policy &policy = m_services.keyPolicy;
    return policy.failClosed && m_services.storeAge() >= policy.revokeBound;
}

bool exchange::authorize()
{
    m_authorizedVersion = m_services.routes.version();
    m_hasTenants = m_services.routes.tenants().isEnabled();
    key_check check = checkKey();
    // A request whose key was revoked on the way still counts for its tenant.
    if (check.result == key_result::accepted || check.tenant != nullptr) {
        m_tenant = std::move(check.tenant);
    }
    switch (check.result) {
    case key_result::accepted:
        return true;
    case key_result::unconfirmed:
        refuse(refusal_cause::starting, "state_outdated", "the store hasn't answered, keys may have been revoked");
        return false;
    case key_result::not_yet_known:
        refuse(refusal_cause::starting, "state_outdated",
               "the key is unknown, and the published state may be outdated");
        return false;
    case key_result::unknown:
        break;
    }
    m_services.metrics.count("medlarrack_gateway_unknown_keys_total", "Requests refused for want of a known key", {});
    if (m_history.runs > 0) {
        constexpr int statusBadGateway = 502;
        respondWithError(statusBadGateway, "key_revoked", "the key was revoked after the request had been sent");
    } else {
        respondWithError(statusUnauthorized, "unknown_key",
                         m_requestMetadata.keyDigest ? "no tenant has this key" : "the route requires a tenant's key");
    }
    return false;
}

bool exchange::isStillAuthorized()
{
    return (m_authorizedVersion == m_services.routes.version() && !mayMissRevocation()) || authorize();
}

bool exchange::maySendAgain() const
{
    return checkKey().result == key_result::accepted;
}

bool exchange::admitByQuota()
{
    if (m_tenant == nullptr || m_tenant->quota.perSecond <= 0) {
        return true;
    }
    const catalog::tenant_quota &quota = m_tenant->quota;
    const double cost = requestCost(quota, m_requestMetadata);
    const core::monotonic_time now = m_services.clock.now();
    if (m_services.tenantLimiter.admit(m_tenant->name, {quota.perSecond, quota.burst}, cost, now)) {
        m_quotaTenant = m_tenant->name;
        m_quotaCost = cost;
        return true;
    }
    constexpr int statusTooManyRequests = 429;
    const std::chrono::milliseconds wait = m_services.tenantLimiter.timeToAdmission(m_tenant->name, now);
    // Spread over as long again, so that callers don't return together.
    const std::chrono::milliseconds jitter(m_services.random() % (wait.count() + 1));
    sendRefusal("quota_exceeded", "the quota of the tenant is used up", wait + jitter, statusTooManyRequests);
    return false;
}

std::uint32_t exchange::urgency() const
{
    return requestUrgency(*m_route, m_tenant.get());
}

} // namespace medlarrack::gateway
