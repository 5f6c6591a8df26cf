#include "replica_usability.hpp"

#include <algorithm>

namespace medlarrack::gateway {

bool isExcluded(const choice_query &query, const replica &candidate)
{
    const bool wasTried = std::find(query.tried.begin(), query.tried.end(), candidate.record.id) != query.tried.end();
    return wasTried || (query.origin != resumption::unknownOrigin && !mayResume(candidate, query.origin));
}

bool isUsable(const replica &candidate, core::monotonic_time now)
{
    if (!acceptsRequests(candidate, now) || !candidate.hasRampUpCapacity(now) || !candidate.requestLimit.admits(now)
        || !candidate.health.mayServe(candidate.outstanding, now)) {
        return false;
    }
    return !candidate.agent || (candidate.agent->engineUp && !candidate.awaitsRelisting(now));
}

bool isUsableLater(const choice_query &query, const replica &candidate, core::monotonic_time now)
{
    return query.maxLoadWait.count() > 0 && acceptsRequests(candidate, now + query.maxLoadWait);
}

} // namespace medlarrack::gateway
