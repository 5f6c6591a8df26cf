#include "shared_tables.hpp"

#include <utility>

namespace medlarrack::entry {

namespace {

suspects::suspect_limits suspectLimits(const suspect_settings &settings)
{
    suspects::suspect_limits limits;
    limits.crashesToRefuse = settings.crashesToRefuse;
    limits.fadeAfter = settings.fadeAfter;
    limits.maxFingerprints = settings.maxFingerprints;
    return limits;
}

trace::recorder_limits traceLimits(const trace_settings &settings)
{
    trace::recorder_limits limits;
    limits.maxRequests = settings.maxRequests;
    limits.maxChanges = settings.maxChanges;
    return limits;
}

} // namespace

shared_tables::shared_tables(entry_settings entrySettings, const entry_dependencies &dependencies)
    : settings(std::move(entrySettings))
    , trace(traceLimits(settings.trace))
    , registry(settings.maxMetricOperators)
    , metrics(registry)
    , targets(settings, dependencies.instances, dependencies.clock, trace)
    , suspects(suspectLimits(settings.suspects))
    , retries(settings.retries.budgetRatio, settings.retries.budgetBurst)
    , admission(settings.requests.maxInFlight)
    , m_environment{settings,
                    dependencies.clock,
                    dependencies.tickets,
                    targets,
                    dependencies.link,
                    suspects,
                    retries,
                    metrics,
                    trace,
                    dependencies.onNewerTicket}
{
}

std::shared_ptr<const run_environment> shared_tables::environment(const std::shared_ptr<const shared_tables> &tables)
{
    return {tables, &tables->m_environment};
}

} // namespace medlarrack::entry
